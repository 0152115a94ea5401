#include "net/socket_set.h"

#include "net/event_loop.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace crocuslane {

namespace {

// Further events are reported in the next iteration of the loop.
constexpr int maximumEventsPerIteration = 64;

} // namespace

// The reactor keeps the handler of a descriptor that is closed before its handler is removed, as libcurl does after a
// failed attempt to connect. An epoll set removes a closed descriptor by itself.
struct socket_set::private_data : public ACE_Event_Handler {
    ACE_HANDLE get_handle() const override // NOLINT(readability-identifier-naming): name given by ACE
    {
        return epollDescriptor;
    }

    int handle_input(ACE_HANDLE /*handle*/) override
    {
        std::array<epoll_event, maximumEventsPerIteration> ready{};
        const int count = ::epoll_wait(epollDescriptor, ready.data(), maximumEventsPerIteration, 0);
        for (int index = 0; index < count; ++index) {
            const epoll_event &event = ready[static_cast<std::size_t>(index)];
            onReady(event.data.fd,
                    {(event.events & (EPOLLIN | EPOLLHUP)) != 0,
                     (event.events & EPOLLOUT) != 0,
                     (event.events & EPOLLERR) != 0});
        }
        if (count > 0) {
            onAllReady();
        }
        return 0;
    }

    event_loop *loop = nullptr;
    int epollDescriptor = -1;
    std::function<void(int, socket_events)> onReady;
    std::function<void()> onAllReady;
};

socket_set::socket_set(event_loop &loop,
                       std::function<void(int socket, socket_events events)> onReady,
                       std::function<void()> onAllReady)
    : d(std::make_unique<private_data>())
{
    d->loop = &loop;
    d->onReady = std::move(onReady);
    d->onAllReady = std::move(onAllReady);
    d->epollDescriptor = ::epoll_create1(EPOLL_CLOEXEC);
    if (d->epollDescriptor < 0 || loop.reactor().register_handler(d.get(), ACE_Event_Handler::READ_MASK) != 0) {
        throw std::runtime_error("the epoll set of sockets cannot be opened");
    }
}

socket_set::~socket_set()
{
    d->loop->reactor().remove_handler(d.get(), ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
    ::close(d->epollDescriptor);
}

void socket_set::watch(int socket, bool isForReading, bool isForWriting)
{
    epoll_event event{};
    event.data.fd = socket;
    event.events = (isForReading ? EPOLLIN : 0U) | (isForWriting ? EPOLLOUT : 0U);
    // Only the system knows whether the descriptor is still the watched socket: a closed one is no longer in the set.
    if (::epoll_ctl(d->epollDescriptor, EPOLL_CTL_MOD, socket, &event) != 0 && errno == ENOENT) {
        ::epoll_ctl(d->epollDescriptor, EPOLL_CTL_ADD, socket, &event);
    }
}

void socket_set::unwatch(int socket)
{
    epoll_event unused{};
    ::epoll_ctl(d->epollDescriptor, EPOLL_CTL_DEL, socket, &unused);
}

} // namespace crocuslane
