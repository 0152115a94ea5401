#pragma once

#include "http/standin_loop.h"

#include <microhttpd.h>

#include <set>

namespace crocuslane {

/// State of one TCP connection.
struct connection_state {
    bool isSilent = false;
    /// The exchange in progress.
    std::shared_ptr<standin_exchange> exchange;
};

class standin_listener::implementation
{
public:
    MHD_Daemon *daemon = nullptr;
    int pollDescriptor = -1;
    standin_handler handler;
    std::set<connection_state *> connections;
    /// A connection was resumed or has work left, so that MHD_run() is needed.
    bool needsRun = false;
};

/// Callbacks of libmicrohttpd.
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
    changeConnection(void *listener, MHD_Connection *connection, void **state, MHD_ConnectionNotificationCode code);
    static void silence(standin_listener::implementation &listener);
    /// Ends the suspended exchanges whose caller has closed the connection.
    static void dropLost(standin_listener::implementation &listener);
    /// Lets libmicrohttpd stop: it aborts the process when a connection is still suspended then.
    static void resumeAll(standin_listener::implementation &listener);

private:
    static MHD_Result giveResponse(standin_exchange &exchange);
};

} // namespace crocuslane
