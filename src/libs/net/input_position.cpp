#include "net/input_position.h"

#include <linux/sockios.h>
#include <linux/tcp.h>

#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstddef>

namespace crocuslane {

namespace {

/// Bytes that have arrived on a TCP socket since it was opened.
std::optional<std::uint64_t> receivedBytes(int socket)
{
    constexpr std::size_t neededSize = offsetof(tcp_info, tcpi_bytes_received) + sizeof(tcp_info::tcpi_bytes_received);
    tcp_info information{};
    socklen_t size = sizeof information;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &information, &size) != 0 || size < neededSize) {
        return std::nullopt;
    }
    return information.tcpi_bytes_received;
}

/// Bytes that have arrived and wait in the socket.
std::optional<std::uint64_t> waitingBytes(int socket)
{
    int bytes = 0;
    if (::ioctl(socket, SIOCINQ, &bytes) != 0) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(bytes);
}

/// Bytes that have been read from a TCP socket since it was opened.
std::optional<std::uint64_t> readBytes(int socket)
{
    constexpr int maximumTries = 3;
    for (int tries = 0; tries < maximumTries; ++tries) {
        const std::optional<std::uint64_t> waiting = waitingBytes(socket);
        const std::optional<std::uint64_t> received = receivedBytes(socket);
        if (!waiting || !received || *received < *waiting) {
            return std::nullopt;
        }
        // Bytes that arrive between the two calls are only in the second number.
        if (waitingBytes(socket) == waiting) {
            return *received - *waiting;
        }
    }
    return std::nullopt;
}

} // namespace

input_position::input_position(int socket)
    : m_socket(socket)
{
}

// Bytes that are not counted, such as the sizes of chunks, would add up over the requests of a connection and pass for
// more and more that the client has sent ahead. If the line of this request was completed by bytes that were read after
// the end of the previous one, the uncounted bytes belong to the previous request, except for a part of the line.
// Otherwise the client has sent the line ahead, and they stay where they are.
void input_position::beginRequest(std::size_t lineBytes)
{
    if (!m_readAtEnd || *m_readAtEnd <= m_position) {
        return;
    }
    const std::optional<std::uint64_t> read = readBytes(m_socket);
    if (read && *read > *m_readAtEnd && *m_readAtEnd > lineBytes) {
        m_position = std::max(m_position, *m_readAtEnd - lineBytes);
    }
}

std::optional<std::size_t> input_position::endRequest(std::size_t bytes)
{
    m_position += bytes;
    m_readAtEnd = readBytes(m_socket);
    if (!m_readAtEnd || *m_readAtEnd < m_position) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(*m_readAtEnd - m_position);
}

} // namespace crocuslane
