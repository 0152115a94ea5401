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

} // namespace

input_position::input_position(int socket)
    : m_socket(socket)
{
}

void input_position::add(std::size_t bytes)
{
    m_bytes += bytes;
}

std::optional<std::size_t> input_position::readAheadBytes() const
{
    // Asked first: bytes that arrive in between are then counted as read, so that the result is never too small.
    int unread = 0;
    if (::ioctl(m_socket, SIOCINQ, &unread) != 0) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> received = receivedBytes(m_socket);
    const std::uint64_t accounted = m_bytes + static_cast<std::uint64_t>(unread);
    if (!received || *received < accounted) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(*received - accounted);
}

} // namespace crocuslane
