#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace crocuslane {

/// Where in the bytes of a client the requests of its connection end, to tell how much has been read from the socket
/// beyond them. Not all bytes of a request are known; those that aren't count as read beyond it until the next request
/// begins.
class input_position
{
public:
    explicit input_position(int socket);

    /// A request begins; its first line, of at most about @p lineBytes, has just become complete.
    void beginRequest(std::size_t lineBytes);
    /// The request has been read to its end; @p bytes is at most its size on the connection. Returns an upper bound of
    /// the bytes that have been read beyond it; nothing when it can't be told, for example on a system without a count
    /// of received bytes.
    std::optional<std::size_t> endRequest(std::size_t bytes);

private:
    int m_socket;
    /// Lower bound of the end of the last request, and during a request of its begin.
    std::uint64_t m_position = 0;
    /// Bytes that had been read when the last request had been read to its end; empty when not known.
    std::optional<std::uint64_t> m_readAtEnd;
};

} // namespace crocuslane
