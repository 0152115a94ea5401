#pragma once

#include "net/chunked_decoder.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace crocuslane {

struct http_response_head;

/// Reads the body of an answer, in chunks or not, within bounds.
class answer_body
{
public:
    /// @p maximumBytes bounds the data, zero for no limit, and @p maximumTrailerBytes the trailer of a body in chunks.
    answer_body(std::size_t maximumBytes, std::size_t maximumTrailerBytes);

    /// Reads from the head of the answer to a request with @p method how the body is coded. False for a coding that no
    /// request asks for.
    bool begin(const http_response_head &head, std::string_view method);
    /// The data in the next bytes of the connection, valid until the next call; may be empty. Nothing when the body is
    /// malformed or exceeds a bound.
    std::optional<std::string_view> read(std::string_view bytes);
    /// False when the last chunk or the trailer of a body in chunks is missing.
    bool isComplete() const;

private:
    std::size_t m_maximumBytes;
    std::size_t m_maximumTrailerBytes;
    std::size_t m_bytes = 0;
    std::optional<chunked_decoder> m_chunks;
    std::string m_decoded;
};

} // namespace crocuslane
