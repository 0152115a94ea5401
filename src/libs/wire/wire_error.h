#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <string_view>

namespace crocuslane {

namespace leaf = boost::leaf;

enum class wire_fault {
    frame_empty,
    frame_too_large,
    /// Not a valid buffer of the schema.
    malformed,
    /// Written by another version of the protocol.
    wrong_protocol_version,
    unknown_message,
    /// A field has a value that no sender of this version writes.
    invalid_value,
    /// The sender is not the one that authenticated on the connection.
    wrong_sender,
    /// The hello message came out of order.
    unexpected_hello,
    authentication_failed,
};

/// Why bytes from or for another entry VM were refused. The connection that they came from shall be closed.
struct wire_error {
    wire_fault fault = wire_fault::malformed;
    std::string detail;
};

std::string_view toName(wire_fault fault);

} // namespace crocuslane
