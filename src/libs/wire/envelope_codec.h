#pragma once

#include "base/hybrid_clock.h"
#include "kernel/peer_message.h"
#include "wire/wire_error.h"

#include <memory>
#include <string>
#include <string_view>

namespace crocuslane {

class name_list_reader;
class name_list_writer;

/// Must be increased with every change that an older process would misinterpret.
constexpr std::uint16_t wireProtocolVersion = 1;

/// A message between entry VMs with its sender and the time of sending.
struct envelope {
    vm_id sender;
    std::uint64_t incarnation = 0;
    hybrid_time time;
    peer_message message;
};

/// Compresses the records of @p part once, for a part that is sent to several peers or relayed. Leaves the part
/// uncompressed when compression fails.
void packStreamPart(stream_part &part);

/// Encodes the messages of one connection to a peer. All of them must arrive in order, because each id is sent in full
/// only once.
class envelope_encoder
{
public:
    envelope_encoder();
    ~envelope_encoder();
    envelope_encoder(const envelope_encoder &) = delete;
    envelope_encoder &operator=(const envelope_encoder &) = delete;

    /// Payload of one frame. Fails with wire_error when an id or the whole message is too long for the format; later
    /// messages can still be sent.
    leaf::result<std::string> encode(const envelope &envelope);

private:
    std::unique_ptr<name_list_writer> m_names;
};

/// Decodes the messages of one envelope_encoder.
class envelope_decoder
{
public:
    envelope_decoder();
    ~envelope_decoder();
    envelope_decoder(const envelope_decoder &) = delete;
    envelope_decoder &operator=(const envelope_decoder &) = delete;

    /// Accepts any bytes; fails with wire_error when they are not a valid message.
    leaf::result<envelope> decode(std::string_view payload);

private:
    std::unique_ptr<name_list_reader> m_names;
};

/// Encodes a message on its own, as the first one of an envelope_encoder.
leaf::result<std::string> encodeEnvelope(const envelope &envelope);
/// Decodes a message of encodeEnvelope().
leaf::result<envelope> decodeEnvelope(std::string_view payload);

} // namespace crocuslane
