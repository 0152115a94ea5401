#include "net/idle_sockets.h"

#include <catch2/catch.hpp>

#include <array>
#include <cerrno>
#include <string>

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

using namespace crocuslane;

// Takes the place of the C library's recv() in this program. Only Linux accepts a null buffer, and only for TCP with
// MSG_TRUNC; other network layers write to it.
extern "C" ssize_t recv(int socket, void *buffer, std::size_t size, int flags)
{
    if (buffer == nullptr && size > 0) {
        errno = EFAULT;
        return -1;
    }
    return ::syscall(SYS_recvfrom, socket, buffer, size, flags, nullptr, nullptr);
}

namespace {

/// A TCP connection on the loopback address.
class connected_pair
{
public:
    connected_pair()
    {
        const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto *const generic = reinterpret_cast<sockaddr *>(&address);
        REQUIRE(::bind(listener, generic, size) == 0);
        REQUIRE(::listen(listener, 1) == 0);
        REQUIRE(::getsockname(listener, generic, &size) == 0);
        near = ::socket(AF_INET, SOCK_STREAM, 0);
        REQUIRE(::connect(near, generic, size) == 0);
        far = ::accept(listener, nullptr, nullptr);
        REQUIRE(far >= 0);
        ::close(listener);
    }

    ~connected_pair()
    {
        ::close(near);
        ::close(far);
    }

    connected_pair(const connected_pair &) = delete;
    connected_pair &operator=(const connected_pair &) = delete;

    int near = -1;
    int far = -1;
};

} // namespace

// Guards against a process that ends when a second answer arrives on an idle connection, and against bytes that stay
// there for the next request.
TEST_CASE("idle sockets, bytes arrive, are discarded into a buffer and the connection ends", "[net]")
{
    const connected_pair connection;
    idle_sockets idle;
    idle.add(connection.near);
    const std::string bytes(GENERATE(std::size_t{1}, std::size_t{5000}, std::size_t{100'000}), 'x');
    REQUIRE(::send(connection.far, bytes.data(), bytes.size(), MSG_DONTWAIT) == static_cast<ssize_t>(bytes.size()));

    idle.endReadable();

    char next = 0;
    CHECK(::recv(connection.near, &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0);
}
