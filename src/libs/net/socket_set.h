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

/// Sockets that another library opens and closes, watched by the event loop through one descriptor. Unlike handlers of
/// the reactor, a socket may be closed before it is unwatched.
class socket_set
{
public:
    /// @p onReady is called for each ready socket, @p onAllReady after the last of a turn.
    socket_set(event_loop &loop,
               std::function<void(int socket, socket_events events)> onReady,
               std::function<void()> onAllReady);
    ~socket_set();
    socket_set(const socket_set &) = delete;
    socket_set &operator=(const socket_set &) = delete;

    /// Replaces what is watched of the socket.
    void watch(int socket, bool isForReading, bool isForWriting);
    /// Does nothing for a socket that was closed.
    void unwatch(int socket);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace crocuslane
