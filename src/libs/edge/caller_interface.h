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

/// Converts callers' HTTP requests into events, and actions into HTTP answers.
class caller_interface : public http_handler
{
public:
    /// Requests to all other paths go to @p operators. Generated request ids start with @p idPrefix.
    /// @p onSampledAnswer is called with a sample of the complete answers, which are to be rated.
    caller_interface(const clock &clock,
                     event_sink &sink,
                     http_handler &operators,
                     std::string idPrefix,
                     std::function<void(const finished_answer &)> onSampledAnswer);
    ~caller_interface() override;

    void handleRequest(const std::shared_ptr<http_exchange> &exchange) override;
    void handleAbandoned(const http_exchange &exchange) override;

    /// Registers an exchange that is answered by a later answer_call or refuse_request action.
    void expectAnswer(const request_id &request, const std::shared_ptr<http_exchange> &exchange);

    void carryOut(const begin_answer &action);
    void carryOut(const send_token &action);
    void carryOut(const finish_answer &action);
    void carryOut(const refuse_request &action);
    void carryOut(const answer_call &action);

    /// True while a request has no answer or an incomplete one.
    bool hasRequests() const;
    /// Null after the end of the request.
    const model_body *modelBody(const request_id &request) const;
    /// Null after the end of the request.
    const call_body *callBody(const request_id &request) const;

private:
    void receiveModelRequest(const std::shared_ptr<http_exchange> &exchange);
    void receiveServiceCall(const std::shared_ptr<http_exchange> &exchange);
    std::string generateId();
    /// Answers @p exchange with an error and returns true when a request with this id is in progress.
    bool refuseIfInProgress(const request_id &request, const std::shared_ptr<http_exchange> &exchange) const;
    caller_request *find(const request_id &request);

    const clock &m_clock;
    event_sink &m_sink;
    http_handler &m_operators;
    std::string m_idPrefix;
    std::function<void(const finished_answer &)> m_onSampledAnswer;
    std::uint64_t m_lastId = 0;
    std::unordered_map<request_id, std::unique_ptr<caller_request>> m_requests;
    std::unordered_map<const http_exchange *, request_id> m_requestsByExchange;
};

/// HTTP status that client libraries expect for an error.
std::uint32_t httpStatus(error_code code);
/// JSON body of an error answer.
std::string errorBody(const request_error &error, const std::string &callerRequestId);

} // namespace crocuslane
