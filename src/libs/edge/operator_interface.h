#pragma once

#include "kernel/types.h"
#include "net/http_server.h"

#include <functional>
#include <string>

namespace crocuslane {

class caller_interface;
class event_sink;
class kernel;

/// Answers /v1/models, /v1/entries, health checks and the operators' paths below /admin/.
class operator_interface : public http_handler
{
public:
    struct environment {
        kernel &decisions;
        event_sink &sink;
        node_identity node;
        /// SHA-256 of the key that may publish the first configuration, hexadecimal; empty for none.
        std::string bootstrapKeyHash;
        /// Returns a JSON object with a list "events", for /admin/timeline: events from @p sinceMilliseconds (Unix) on,
        /// of all requests when @p request is empty.
        std::function<std::string(const std::string &request, std::int64_t sinceMilliseconds)> timeline;
        /// Returns the text for /metrics.
        std::function<std::string()> metrics;
    };

    explicit operator_interface(environment environment);
    /// Sets the interface that sends the answers to publications. Must be called before the first request.
    void setCallers(caller_interface &callers);

    void handleRequest(const std::shared_ptr<http_exchange> &exchange) override;
    void handleAbandoned(const http_exchange &exchange) override;

private:
    bool isOperator(const std::string &keyHash) const;
    void handleAdmin(const std::shared_ptr<http_exchange> &exchange);
    void publish(const std::shared_ptr<http_exchange> &exchange, const std::string &keyHash);
    std::string modelsBody(const std::string &keyHash) const;
    std::string entriesBody() const;
    std::string configurationBody() const;
    std::string statusBody() const;
    std::string groupsBody() const;
    std::string billsBody() const;

    environment m_environment;
    caller_interface *m_callers = nullptr;
    std::uint64_t m_lastPublication = 0;
};

} // namespace crocuslane
