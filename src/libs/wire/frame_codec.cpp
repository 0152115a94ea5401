#include "wire/frame_codec.h"

namespace crocuslane {

namespace {

constexpr unsigned bitsPerByte = 8;

leaf::result<void> checkLength(std::size_t length)
{
    if (length == 0) {
        return leaf::new_error(wire_error{wire_fault::frame_empty, {}});
    }
    if (length > maximumFrameBytes) {
        return leaf::new_error(wire_error{wire_fault::frame_too_large, "bytes=" + std::to_string(length)});
    }
    return {};
}

std::size_t readLength(std::string_view header)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < frameHeaderBytes; ++index) {
        length |= std::size_t{static_cast<unsigned char>(header[index])} << (bitsPerByte * index);
    }
    return length;
}

} // namespace

leaf::result<std::string> encodeFrame(std::string_view payload)
{
    if (auto checked = checkLength(payload.size()); !checked) {
        return checked.error();
    }
    std::string frame;
    frame.reserve(frameHeaderBytes + payload.size());
    for (std::size_t index = 0; index < frameHeaderBytes; ++index) {
        frame += static_cast<char>((payload.size() >> (bitsPerByte * index)) & 0xff);
    }
    frame += payload;
    return frame;
}

void frame_decoder::append(std::string_view bytes)
{
    m_buffer.erase(0, m_consumed);
    m_consumed = 0;
    m_buffer += bytes;
}

leaf::result<std::optional<std::string>> frame_decoder::next()
{
    const std::string_view pending = std::string_view(m_buffer).substr(m_consumed);
    if (pending.size() < frameHeaderBytes) {
        return std::nullopt;
    }
    // Checked before the payload arrives, so that an invalid length is rejected without waiting or allocating for it.
    const std::size_t length = readLength(pending);
    if (auto checked = checkLength(length); !checked) {
        return checked.error();
    }
    if (pending.size() - frameHeaderBytes < length) {
        return std::nullopt;
    }
    m_consumed += frameHeaderBytes + length;
    return std::optional(std::string(pending.substr(frameHeaderBytes, length)));
}

std::size_t frame_decoder::pendingBytes() const
{
    return m_buffer.size() - m_consumed;
}

} // namespace crocuslane
