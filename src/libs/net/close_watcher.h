#pragma once

#include <ace/Event_Handler.h>

#include <functional>

class ACE_Reactor;

namespace crocuslane {

/// Detects that the client closed a suspended connection, because libmicrohttpd doesn't read from it.
class close_watcher : public ACE_Event_Handler
{
public:
    close_watcher(ACE_Reactor &reactor, int socket, std::function<void()> onClosed);
    ~close_watcher() override;

    ACE_HANDLE get_handle() const override; // NOLINT(readability-identifier-naming): name given by ACE
    int handle_input(ACE_HANDLE handle) override;
    void stop();

private:
    ACE_Reactor &m_reactor;
    int m_socket;
    std::function<void()> m_onClosed;
    bool m_isRegistered = false;
};

} // namespace crocuslane
