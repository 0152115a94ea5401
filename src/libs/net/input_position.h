#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace crocuslane {

/// Where in the bytes of a client the requests of its connection end. Tells how much has been read beyond them.
class input_position
{
public:
    explicit input_position(int socket);

    /// Counts a request that has been read to its end; @p bytes is at most its size on the connection.
    void add(std::size_t bytes);
    /// Upper bound of the bytes that have been read from the socket beyond the requests counted so far: those of
    /// requests that the client has sent ahead. Nothing when it can't be told, for example on a system without this
    /// count.
    std::optional<std::size_t> readAheadBytes() const;

private:
    int m_socket;
    std::uint64_t m_bytes = 0;
};

} // namespace crocuslane
