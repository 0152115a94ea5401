#include "wire/envelope_codec.h"
#include "wire/frame_codec.h"
#include "wire/peer_handshake.h"

#include <cstdint>
#include <cstdlib>

using namespace crocuslane;

namespace {

const std::string key = "fuzzed key";

[[noreturn]] void fail()
{
    std::abort();
}

/// Decodes the input as frames. Appends it in pieces whose sizes are derived from the input too.
std::vector<std::string> decodeFrames(std::string_view input)
{
    frame_decoder decoder;
    std::vector<std::string> frames;
    while (!input.empty()) {
        const std::size_t piece = std::min<std::size_t>(input.size(), 1 + (static_cast<unsigned char>(input[0]) % 64));
        decoder.append(input.substr(0, piece));
        input.remove_prefix(piece);
        for (;;) {
            auto frame = decoder.next();
            if (!frame) {
                return frames;
            }
            if (!frame.value()) {
                break;
            }
            frames.push_back(*frame.value());
        }
    }
    return frames;
}

/// A decoded message must be encodable, and the result decodable.
void tryEnvelope(std::string_view payload)
{
    auto decoded = decodeEnvelope(payload);
    if (!decoded) {
        return;
    }
    const auto encoded = encodeEnvelope(decoded.value());
    if (!encoded || !decodeEnvelope(encoded.value())) {
        fail();
    }
}

/// The same for the messages of one connection, which refer to names of earlier messages.
void tryConnection(const std::vector<std::string> &frames)
{
    envelope_decoder decoder;
    envelope_encoder encoder;
    envelope_decoder again;
    for (const std::string &frame : frames) {
        const auto decoded = decoder.decode(frame);
        if (!decoded) {
            return;
        }
        const auto encoded = encoder.encode(decoded.value());
        if (!encoded || !again.decode(encoded.value())) {
            fail();
        }
    }
}

/// A peer without the key must never complete a handshake.
void tryHandshake(const std::vector<std::string> &frames, connection_side side)
{
    peer_handshake handshake(side, {vm_id("self"), 1}, key, std::string(32, 'n'));
    for (const std::string &frame : frames) {
        // Both a reply and an error are allowed.
        static_cast<void>(handshake.receive(frame));
    }
    if (handshake.isComplete()) {
        fail();
    }
}

} // namespace

/// Guards against crashes on any input, messages that can't be encoded again, and unauthenticated handshakes that
/// complete.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    tryEnvelope(input);
    const std::vector<std::string> frames = decodeFrames(input);
    for (const std::string &frame : frames) {
        tryEnvelope(frame);
    }
    tryConnection(frames);
    tryHandshake({std::string(input)}, connection_side::accepted);
    tryHandshake(frames, connection_side::accepted);
    tryHandshake(frames, connection_side::opened);
    return 0;
}
