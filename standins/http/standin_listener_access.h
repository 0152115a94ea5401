#pragma once

#include "http/standin_loop.h"

#include <microhttpd.h>

#include <set>

namespace crocuslane {

/// Data of one TCP connection.
struct connection_state {
    bool isSilent = false;
    /// Exchange in progress on the connection; empty between exchanges.
    std::shared_ptr<standin_exchange> exchange;
};

class standin_listener::implementation
{
public:
    MHD_Daemon *daemon = nullptr;
    int pollDescriptor = -1;
    standin_handler handler;
    std::set<connection_state *> connections;
    /// MHD_run() must be called at once, because a connection was resumed or has pending work.
    bool needsRun = false;
};

/// Callbacks for libmicrohttpd and other functions with access to the internals of listeners and exchanges.
class standin_listener_access
{
public:
    static MHD_Result handleRequest(void *listener,
                                    MHD_Connection *connection,
                                    const char *url,
                                    const char *method,
                                    const char *version,
                                    const char *upload,
                                    std::size_t *uploadSize,
                                    void **state);
    static ssize_t readStream(void *exchange, std::uint64_t position, char *buffer, std::size_t size);
    static void
    completeRequest(void *listener, MHD_Connection *connection, void **state, MHD_RequestTerminationCode code);
    static void
    notifyConnection(void *listener, MHD_Connection *connection, void **state, MHD_ConnectionNotificationCode code);
    static void silenceConnections(standin_listener::implementation &listener);
    /// Ends the suspended exchanges whose client has closed the connection.
    static void dropDisconnected(standin_listener::implementation &listener);
    /// Ends and resumes all exchanges. Required before MHD_stop_daemon(), which aborts the process if a connection is
    /// suspended.
    static void dropAllExchanges(standin_listener::implementation &listener);

private:
    static MHD_Result queueResponse(standin_exchange &exchange);
};

} // namespace crocuslane
