#include "http/standin_listener_access.h"

#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <cerrno>

namespace crocuslane {

namespace {

constexpr std::size_t maximumBodyBytes = 16U << 20U;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return text;
}

MHD_Result collectHeader(void *target, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<standin_request *>(target)->headers[lowerCase(name)] = value ? value : "";
    return MHD_YES;
}

MHD_Result collectParameter(void *target, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<standin_request *>(target)->query[name] = value ? value : "";
    return MHD_YES;
}

connection_state *stateOfConnection(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return static_cast<connection_state *>(info->socket_context);
}

} // namespace

MHD_Result standin_listener_access::handleRequest(void *listener,
                                                  MHD_Connection *connection,
                                                  const char *url,
                                                  const char *method,
                                                  const char *,
                                                  const char *upload,
                                                  std::size_t *uploadSize,
                                                  void **state)
{
    auto &owner = *static_cast<standin_listener::implementation *>(listener);
    connection_state *connectionState = stateOfConnection(connection);
    if (!*state) {
        standin_request request;
        request.method = method;
        request.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &request);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectParameter, &request);
        auto created = std::make_shared<standin_exchange>(std::move(request), connection);
        created->m_onResume = [&owner] { owner.needsRun = true; };
        created->m_isSilent = connectionState->isSilent;
        connectionState->exchange = created;
        *state = created.get();
        return MHD_YES;
    }
    const std::shared_ptr<standin_exchange> exchange = connectionState->exchange;
    if (*uploadSize > 0) {
        if (exchange->m_request.body.size() + *uploadSize > maximumBodyBytes) {
            return MHD_NO;
        }
        exchange->m_request.body.append(upload, *uploadSize);
        *uploadSize = 0;
        return MHD_YES;
    }
    if (!exchange->m_isDispatched) {
        exchange->m_isDispatched = true;
        if (!exchange->m_isSilent) {
            owner.handler(exchange);
        }
    }
    return queueResponse(*exchange);
}

MHD_Result standin_listener_access::queueResponse(standin_exchange &exchange)
{
    if (exchange.m_isDropped) {
        return MHD_NO;
    }
    if (exchange.m_response && !exchange.m_isSilent) {
        return MHD_queue_response(exchange.m_connection, exchange.m_status, exchange.m_response);
    }
    exchange.m_isSuspended = true;
    MHD_suspend_connection(exchange.m_connection);
    return MHD_YES;
}

ssize_t standin_listener_access::readStream(void *state, std::uint64_t, char *buffer, std::size_t size)
{
    standin_exchange &exchange = *static_cast<standin_exchange *>(state);
    if (!exchange.m_unsent.empty() && !exchange.m_isSilent) {
        const std::size_t count = std::min(size, exchange.m_unsent.size());
        exchange.m_unsent.copy(buffer, count);
        exchange.m_unsent.erase(0, count);
        return static_cast<ssize_t>(count);
    }
    if (exchange.m_isDropped) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (exchange.m_isEnded && !exchange.m_isSilent) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    exchange.m_isSuspended = true;
    MHD_suspend_connection(exchange.m_connection);
    return 0;
}

void standin_listener_access::completeRequest(void *, MHD_Connection *connection, void **, MHD_RequestTerminationCode)
{
    connection_state *state = stateOfConnection(connection);
    if (!state || !state->exchange) {
        return;
    }
    const std::shared_ptr<standin_exchange> exchange = std::move(state->exchange);
    state->exchange.reset();
    exchange->m_connection = nullptr;
    exchange->m_isSuspended = false;
    if (exchange->m_onClosed) {
        const auto callback = std::move(exchange->m_onClosed);
        exchange->m_onClosed = nullptr;
        callback();
    }
}

void standin_listener_access::notifyConnection(void *listener,
                                               MHD_Connection *,
                                               void **state,
                                               MHD_ConnectionNotificationCode code)
{
    auto &owner = *static_cast<standin_listener::implementation *>(listener);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        auto created = std::make_unique<connection_state>();
        owner.connections.insert(created.get());
        *state = created.release();
        return;
    }
    const std::unique_ptr<connection_state> ended(static_cast<connection_state *>(*state));
    owner.connections.erase(ended.get());
    *state = nullptr;
}

void standin_listener_access::silenceConnections(standin_listener::implementation &listener)
{
    for (connection_state *connection : listener.connections) {
        connection->isSilent = true;
        if (connection->exchange) {
            connection->exchange->m_isSilent = true;
        }
    }
}

void standin_listener_access::dropDisconnected(standin_listener::implementation &listener)
{
    for (connection_state *connection : listener.connections) {
        const std::shared_ptr<standin_exchange> &exchange = connection->exchange;
        if (!exchange || !exchange->m_isSuspended || exchange->m_isSilent) {
            continue;
        }
        const MHD_ConnectionInfo *info =
            MHD_get_connection_info(exchange->m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        char next = 0;
        const ssize_t received = recv(info->connect_fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            exchange->drop();
        }
    }
}

void standin_listener_access::dropAllExchanges(standin_listener::implementation &listener)
{
    for (connection_state *connection : listener.connections) {
        if (connection->exchange) {
            connection->exchange->m_isSilent = false;
            connection->exchange->drop();
        }
    }
}

} // namespace crocuslane
