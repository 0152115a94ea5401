#pragma once

#include "base/clock.h"
#include "edge/backend_client.h"
#include "edge/platform_client.h"
#include "kernel/action.h"
#include "net/http_server.h"

#include <functional>
#include <unordered_map>

namespace crocuslane {

class event_sink;
struct caller_request;

/// Turns callers' HTTP requests into events and actions into HTTP answers. Operators' paths go to another handler.
class caller_interface : public http_handler
{
public:
    /// @p onAnswer gets a share of the whole answers, to be rated.
    caller_interface(const clock &clock,
                     event_sink &sink,
                     http_handler &operators,
                     std::string idPrefix,
                     std::function<void(const finished_answer &)> onAnswer);
    ~caller_interface() override;

    void handleRequest(const std::shared_ptr<http_exchange> &exchange) override;
    void handleAbandoned(const http_exchange &exchange) override;

    /// Registers an exchange whose answer comes as answer_call or refuse_request.
    void expectAnswer(const request_id &request, const std::shared_ptr<http_exchange> &exchange);

    void carryOut(const begin_answer &action);
    void carryOut(const send_token &action);
    void carryOut(const finish_answer &action);
    void carryOut(const refuse_request &action);
    void carryOut(const answer_call &action);

    /// True while a caller waits for the rest of an answer.
    bool hasRequests() const;
    /// Null when the request has ended.
    const model_body *modelBody(const request_id &request) const;
    const call_body *callBody(const request_id &request) const;

private:
    void receiveModelRequest(const std::shared_ptr<http_exchange> &exchange);
    void receiveServiceCall(const std::shared_ptr<http_exchange> &exchange);
    std::string generateId();
    bool isInProgress(const request_id &request, const std::shared_ptr<http_exchange> &exchange) const;
    caller_request *find(const request_id &request);

    const clock &m_clock;
    event_sink &m_sink;
    http_handler &m_operators;
    std::string m_idPrefix;
    std::function<void(const finished_answer &)> m_onAnswer;
    std::uint64_t m_lastId = 0;
    std::unordered_map<request_id, std::unique_ptr<caller_request>> m_requests;
    std::unordered_map<const http_exchange *, request_id> m_byExchange;
};

/// HTTP status of an error, as client libraries expect it.
std::uint32_t httpStatus(error_code code);
/// JSON text of an error.
std::string errorBody(const request_error &error, const std::string &callerRequestId);

} // namespace crocuslane
