#include "net/answer_body.h"

#include "net/answer_head_reader.h"

namespace crocuslane {

namespace {

/// Whether bytes follow the head, whatever its fields say (RFC 9112, section 6.3).
bool hasBody(const http_response_head &head, std::string_view method)
{
    constexpr std::uint32_t noContent = 204;
    constexpr std::uint32_t notModified = 304;
    return method != "HEAD" && head.status != noContent && head.status != notModified;
}

} // namespace

answer_body::answer_body(std::size_t maximumBytes, std::size_t maximumTrailerBytes)
    : m_maximumBytes(maximumBytes)
    , m_maximumTrailerBytes(maximumTrailerBytes)
{
}

bool answer_body::begin(const http_response_head &head, std::string_view method)
{
    if (!hasBody(head, method)) {
        return true;
    }
    for (const header_field &field : head.fields) {
        if (!equalsIgnoringCase(field.name, "Transfer-Encoding") || equalsIgnoringCase(field.value, "identity")) {
            continue;
        }
        if (m_chunks || !equalsIgnoringCase(field.value, "chunked")) {
            return false;
        }
        m_chunks.emplace(m_maximumTrailerBytes);
    }
    return true;
}

std::optional<std::string_view> answer_body::read(std::string_view bytes)
{
    if (m_chunks) {
        m_decoded.clear();
        if (!m_chunks->decode(bytes, m_decoded)) {
            return std::nullopt;
        }
        bytes = m_decoded;
    }
    m_bytes += bytes.size();
    if (m_maximumBytes > 0 && m_bytes > m_maximumBytes) {
        return std::nullopt;
    }
    return bytes;
}

bool answer_body::isComplete() const
{
    return !m_chunks || m_chunks->isComplete();
}

} // namespace crocuslane
