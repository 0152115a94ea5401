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

/// Cuts the input into frames, in pieces whose sizes the input sets too.
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

/// What was decoded must be encodable, and decode again.
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

/// A stranger that doesn't know the key never completes a handshake.
void tryHandshake(const std::vector<std::string> &frames, connection_side side)
{
    peer_handshake handshake(side, {vm_id("self"), 1}, key, std::string(32, 'n'));
    for (const std::string &frame : frames) {
        // The result itself is of no interest: a refusal is as good as an answer.
        static_cast<void>(handshake.receive(frame));
    }
    if (handshake.isComplete()) {
        fail();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    tryEnvelope(input);
    const std::vector<std::string> frames = decodeFrames(input);
    for (const std::string &frame : frames) {
        tryEnvelope(frame);
    }
    tryHandshake({std::string(input)}, connection_side::accepted);
    tryHandshake(frames, connection_side::accepted);
    tryHandshake(frames, connection_side::opened);
    return 0;
}
