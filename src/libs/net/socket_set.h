#pragma once

#include <functional>
#include <memory>

namespace crocuslane {

class event_loop;

struct socket_events {
    bool isReadable = false;
    bool isWritable = false;
    bool hasError = false;
};

/// Watches sockets that another library opens and closes. They are in an epoll set, whose descriptor the event loop
/// watches. Unlike a descriptor with a handler in the reactor, a socket may be closed before unwatch() is called for
/// it.
class socket_set
{
public:
    /// In each iteration of the loop, @p onReady is called for each ready socket, then @p onAllReady once.
    socket_set(event_loop &loop,
               std::function<void(int socket, socket_events events)> onReady,
               std::function<void()> onAllReady);
    ~socket_set();
    socket_set(const socket_set &) = delete;
    socket_set &operator=(const socket_set &) = delete;

    /// Sets the events for which the socket is watched, and replaces earlier ones.
    void watch(int socket, bool isForReading, bool isForWriting);
    /// Does nothing for a socket that has been closed.
    void unwatch(int socket);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace crocuslane
