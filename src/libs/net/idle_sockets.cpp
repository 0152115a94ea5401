#include "net/idle_sockets.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace crocuslane {

namespace {

constexpr int eventsPerCall = 64;
constexpr std::size_t discardedBytesPerCall = 16384;

void endConnection(int socket)
{
    ::shutdown(socket, SHUT_RDWR);
    std::array<char, discardedBytesPerCall> discarded;
    // No more bytes arrive after the shutdown.
    while (::recv(socket, discarded.data(), discarded.size(), MSG_DONTWAIT) > 0) { }
}

} // namespace

idle_sockets::idle_sockets()
    : m_epollDescriptor(::epoll_create1(EPOLL_CLOEXEC))
{
    if (m_epollDescriptor < 0) {
        throw std::runtime_error("the epoll set of idle sockets cannot be opened");
    }
}

idle_sockets::~idle_sockets()
{
    ::close(m_epollDescriptor);
}

void idle_sockets::add(int socket)
{
    epoll_event event{};
    event.data.fd = socket;
    event.events = EPOLLIN | EPOLLRDHUP;
    ::epoll_ctl(m_epollDescriptor, EPOLL_CTL_ADD, socket, &event);
}

void idle_sockets::remove(int socket)
{
    epoll_event unused{};
    ::epoll_ctl(m_epollDescriptor, EPOLL_CTL_DEL, socket, &unused);
}

void idle_sockets::endReadable()
{
    std::array<epoll_event, eventsPerCall> ready{};
    int count = eventsPerCall;
    while (count == eventsPerCall) {
        count = ::epoll_wait(m_epollDescriptor, ready.data(), eventsPerCall, 0);
        for (int index = 0; index < count; ++index) {
            const int socket = ready[static_cast<std::size_t>(index)].data.fd;
            remove(socket);
            endConnection(socket);
        }
    }
}

} // namespace crocuslane
