#pragma once

#include "kernel/action.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace crocuslane {

class event_sink;
class http_client;

/// The part of a model request that only the engine needs. The edge keeps it until the request ends.
struct model_body {
    /// JSON text of the "messages" array.
    std::string messages;
    std::uint32_t maximumTokens = 0;
};

/// The part of a service call that only the backend server needs. The edge keeps it until the request ends.
struct call_body {
    std::string operation;
    std::string idempotencyKey;
    std::string content;
};

/// Sends attempts to model engines and calls to plain services, and reports their answers as events.
class backend_client
{
public:
    backend_client(http_client &http, event_sink &sink);
    ~backend_client();

    void start(const start_attempt &action, const model_body &body);
    void start(const start_call &action, const call_body &body);
    void cancel(const cancel_attempt &action);

private:
    struct stream_state;
    struct attempt_state;

    void handleStreamData(attempt_number attempt, stream_state &stream, std::string_view data);
    /// Ends an attempt whose stream has a line without end.
    void giveUp(attempt_number attempt);
    void handleStreamLine(attempt_number attempt, stream_state &stream, std::string_view line);
    void handleStreamEnd(attempt_number attempt, const stream_state &stream, bool wasSent);

    http_client &m_http;
    event_sink &m_sink;
    std::map<attempt_number, attempt_state> m_attempts;
};

} // namespace crocuslane
