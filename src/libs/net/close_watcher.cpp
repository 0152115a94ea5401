#include "net/close_watcher.h"

#include <ace/Reactor.h>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace crocuslane {

close_watcher::close_watcher(ACE_Reactor &reactor, int socket, std::function<void()> onClosed)
    : m_reactor(reactor)
    , m_socket(socket)
    , m_onClosed(std::move(onClosed))
{
    m_isRegistered = m_reactor.register_handler(this, READ_MASK) == 0;
}

close_watcher::~close_watcher()
{
    stop();
}

ACE_HANDLE close_watcher::get_handle() const
{
    return m_socket;
}

int close_watcher::handle_input(ACE_HANDLE /*handle*/)
{
    char next = 0;
    const ssize_t size = ::recv(m_socket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return 0;
    }
    // The bytes of a pipelined request keep the descriptor readable, and a close after them can't be detected.
    stop();
    if (size <= 0) {
        m_onClosed();
    }
    return 0;
}

void close_watcher::stop()
{
    if (m_isRegistered) {
        m_isRegistered = false;
        m_reactor.remove_handler(this, READ_MASK | DONT_CALL);
    }
}

} // namespace crocuslane
