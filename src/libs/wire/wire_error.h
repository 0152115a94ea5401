#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <string_view>

namespace crocuslane {

namespace leaf = boost::leaf;

enum class wire_fault {
    frame_empty,
    frame_too_large,
    /// Not a valid FlatBuffers buffer of the schema.
    malformed,
    /// Encoded by another version of the protocol.
    wrong_protocol_version,
    unknown_message,
    /// A field has a value that no sender of this protocol version encodes.
    invalid_value,
    /// The sender is not the authenticated peer of the connection.
    wrong_sender,
    /// A hello message arrived out of order.
    unexpected_hello,
    authentication_failed,
};

/// Why bytes received from another entry VM, or a message to it, were rejected. A connection that delivered such bytes
/// must be closed.
struct wire_error {
    wire_fault fault = wire_fault::malformed;
    std::string detail;
};

std::string_view toName(wire_fault fault);

} // namespace crocuslane
