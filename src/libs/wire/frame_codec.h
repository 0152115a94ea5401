#pragma once

#include "wire/wire_error.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocuslane {

/// A frame is a 4-byte little-endian length followed by that many bytes.
constexpr std::size_t frameHeaderBytes = 4;
constexpr std::size_t maximumFrameBytes = std::size_t{1} << 20;

/// Fails with wire_error for an empty or too large @p payload.
leaf::result<std::string> encodeFrame(std::string_view payload);

/// Splits a byte stream into frames.
class frame_decoder
{
public:
    /// Adds received bytes.
    void append(std::string_view bytes);
    /// Payload of the next complete frame; empty when more bytes are needed. Fails with wire_error for an invalid
    /// length, and so does every later call, because the start of the next frame is unknown.
    leaf::result<std::optional<std::string>> next();
    /// Number of buffered bytes that are not part of a returned frame yet.
    std::size_t pendingBytes() const;

private:
    std::string m_buffer;
    std::size_t m_consumed = 0;
};

} // namespace crocuslane
