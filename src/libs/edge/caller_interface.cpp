#include "edge/caller_interface.h"

#include "edge/event_sink.h"
#include "edge/request_reader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace crocuslane {

using nlohmann::json;

namespace {

constexpr std::string_view jsonType = "application/json";
// One answer in ten is submitted for rating, which bounds the load on the rating service.
constexpr std::size_t answersPerRating = 10;

std::string dump(const json &value)
{
    // Answers of backend servers may contain bytes that are not UTF-8. They are replaced, because an exception would
    // lose the answer.
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json usageObject(const token_usage &usage)
{
    return {{"prompt_tokens", usage.promptTokens},
            {"completion_tokens", usage.outputTokens},
            {"total_tokens", usage.promptTokens + usage.outputTokens},
            {"prompt_tokens_details", {{"cached_tokens", usage.cachedPromptTokens}}}};
}

} // namespace

struct caller_request {
    std::shared_ptr<http_exchange> exchange;
    std::string callerRequestId;
    model_body model;
    call_body call;
    bool isModelRequest = false;
    bool isStreaming = false;
    bool hasBegun = false;
    kind_id kind;
    /// Whether the answer is submitted for rating.
    bool isSampled = false;
    std::string version;
    std::string sessionToken;
    /// Text of the answer so far; kept for answers that are not streamed or are submitted for rating.
    std::string text;
};

std::uint32_t httpStatus(error_code code)
{
    switch (code) {
    case error_code::bad_request:
    case error_code::session_invalid:
    case error_code::idempotency_key_required:
    case error_code::idempotency_key_expired:
        return 400;
    case error_code::unauthenticated:
        return 401;
    case error_code::forbidden:
        return 403;
    case error_code::unknown_model:
    case error_code::unknown_service:
        return 404;
    case error_code::session_version_withdrawn:
    case error_code::idempotency_key_conflict:
    case error_code::not_repeated:
    case error_code::publication_conflict:
    case error_code::request_in_progress:
        return 409;
    case error_code::publication_invalid:
        return 422;
    case error_code::limit_exceeded:
        return 429;
    case error_code::no_capacity:
    case error_code::configuration_unconfirmed:
    case error_code::log_unavailable:
    case error_code::bill_pending:
    case error_code::shutting_down:
        return 503;
    case error_code::backend_failed:
        return 502;
    case error_code::internal:
        return 500;
    }
    return 500;
}

std::string errorBody(const request_error &error, const std::string &callerRequestId)
{
    return dump({{"error",
                  {{"code", toName(error.code)},
                   {"message", error.message},
                   {"execution", toName(error.execution)},
                   {"request_id", callerRequestId},
                   {"retry_after_s", error.retryAfterSeconds}}}});
}

caller_interface::caller_interface(const clock &clock,
                                   event_sink &sink,
                                   http_handler &operators,
                                   std::string idPrefix,
                                   std::function<void(const finished_answer &)> onSampledAnswer)
    : m_clock(clock)
    , m_sink(sink)
    , m_operators(operators)
    , m_idPrefix(std::move(idPrefix))
    , m_onSampledAnswer(std::move(onSampledAnswer))
{
}

caller_interface::~caller_interface() = default;

std::string caller_interface::generateId()
{
    return fmt::format("{}-{}", m_idPrefix, ++m_lastId);
}

void caller_interface::handleRequest(const std::shared_ptr<http_exchange> &exchange)
{
    const http_request &request = exchange->request();
    if (request.isOversized) {
        exchange->respond(
            413,
            {{"content-type", std::string(jsonType)}},
            errorBody({error_code::bad_request, execution_state::not_run, "body: larger than the limit", 0.0}, ""));
        return;
    }
    if (request.path == "/v1/chat/completions" && request.method == "POST") {
        receiveModelRequest(exchange);
        return;
    }
    if (request.path.starts_with("/v1/services/") && (request.method == "POST" || request.method == "GET")) {
        receiveServiceCall(exchange);
        return;
    }
    m_operators.handleRequest(exchange);
}

bool caller_interface::refuseIfInProgress(const request_id &request,
                                          const std::shared_ptr<http_exchange> &exchange) const
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end()) {
        return false;
    }
    exchange->respond(409,
                      {{"content-type", std::string(jsonType)}},
                      errorBody({error_code::request_in_progress,
                                 execution_state::unknown,
                                 "a request with this id is in progress at this entry VM",
                                 1.0},
                                found->second->callerRequestId));
    return true;
}

void caller_interface::receiveModelRequest(const std::shared_ptr<http_exchange> &exchange)
{
    std::variant<parsed_model_request, request_error> readResult = readModelRequest(exchange->request(), generateId());
    if (const auto *error = std::get_if<request_error>(&readResult)) {
        exchange->respond(httpStatus(error->code), {{"content-type", std::string(jsonType)}}, errorBody(*error, ""));
        return;
    }
    auto &parsed = std::get<parsed_model_request>(readResult);
    if (refuseIfInProgress(parsed.request.request, exchange)) {
        return;
    }
    auto newRequest = std::make_unique<caller_request>();
    newRequest->exchange = exchange;
    newRequest->callerRequestId = parsed.callerRequestId;
    newRequest->model = std::move(parsed.body);
    newRequest->isModelRequest = true;
    newRequest->isStreaming = parsed.isStreaming;
    newRequest->kind = parsed.request.kind;
    // An answer that continues one from another entry VM is incomplete here and can't be rated.
    newRequest->isSampled =
        parsed.request.resumeFrom == 0 && std::hash<request_id>{}(parsed.request.request) % answersPerRating == 0;
    m_requestsByExchange[exchange.get()] = parsed.request.request;
    m_requests[parsed.request.request] = std::move(newRequest);
    m_sink.deliver(model_request_received{std::move(parsed.request)});
}

void caller_interface::receiveServiceCall(const std::shared_ptr<http_exchange> &exchange)
{
    std::variant<parsed_service_call, request_error> readResult = readServiceCall(exchange->request(), generateId());
    if (const auto *error = std::get_if<request_error>(&readResult)) {
        exchange->respond(httpStatus(error->code), {{"content-type", std::string(jsonType)}}, errorBody(*error, ""));
        return;
    }
    auto &parsed = std::get<parsed_service_call>(readResult);
    if (refuseIfInProgress(parsed.call.request, exchange)) {
        return;
    }
    auto newRequest = std::make_unique<caller_request>();
    newRequest->exchange = exchange;
    newRequest->callerRequestId = parsed.callerRequestId;
    newRequest->call = std::move(parsed.body);
    m_requestsByExchange[exchange.get()] = parsed.call.request;
    m_requests[parsed.call.request] = std::move(newRequest);
    m_sink.deliver(service_call_received{std::move(parsed.call)});
}

void caller_interface::expectAnswer(const request_id &request, const std::shared_ptr<http_exchange> &exchange)
{
    auto newRequest = std::make_unique<caller_request>();
    newRequest->exchange = exchange;
    newRequest->callerRequestId = request.value();
    m_requestsByExchange[exchange.get()] = request;
    m_requests[request] = std::move(newRequest);
}

void caller_interface::handleAbandoned(const http_exchange &exchange)
{
    const auto found = m_requestsByExchange.find(&exchange);
    if (found == m_requestsByExchange.end()) {
        return;
    }
    const request_id request = found->second;
    m_requestsByExchange.erase(found);
    m_requests.erase(request);
    m_sink.deliver(request_abandoned{request});
}

caller_request *caller_interface::find(const request_id &request)
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : found->second.get();
}

bool caller_interface::hasRequests() const
{
    return !m_requests.empty();
}

const model_body *caller_interface::modelBody(const request_id &request) const
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : &found->second->model;
}

const call_body *caller_interface::callBody(const request_id &request) const
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : &found->second->call;
}

void caller_interface::carryOut(const begin_answer &action)
{
    caller_request *request = find(action.request);
    if (!request || request->hasBegun) {
        return;
    }
    request->hasBegun = true;
    request->version = action.version.value();
    request->sessionToken = action.sessionToken;
    if (!request->isStreaming) {
        return;
    }
    request->exchange->begin(200,
                             {{"content-type", "text/event-stream"},
                              {"cache-control", "no-store"},
                              {"x-request-id", request->callerRequestId},
                              {"x-crocuslane-version", request->version},
                              {"x-crocuslane-session", request->sessionToken}});
}

void caller_interface::carryOut(const send_token &action)
{
    caller_request *request = find(action.request);
    if (!request) {
        return;
    }
    if (!request->isStreaming || request->isSampled) {
        request->text += action.text;
    }
    if (!request->isStreaming) {
        return;
    }
    const json chunk = {
        {"id", request->callerRequestId},
        {"object", "chat.completion.chunk"},
        {"model", request->version},
        {"index", action.index},
        {"choices", json::array({{{"index", 0}, {"delta", {{"content", action.text}}}, {"finish_reason", nullptr}}})}};
    request->exchange->send("data: " + dump(chunk) + "\n\n");
}

void caller_interface::carryOut(const finish_answer &action)
{
    caller_request *request = find(action.request);
    if (!request) {
        return;
    }
    if (request->isSampled) {
        m_onSampledAnswer({action.request, version_id(request->version), request->kind, request->text});
    }
    const std::string reason(toName(action.reason));
    if (request->isStreaming) {
        const json chunk = {
            {"id", request->callerRequestId},
            {"object", "chat.completion.chunk"},
            {"model", request->version},
            {"choices", json::array({{{"index", 0}, {"delta", json::object()}, {"finish_reason", reason}}})},
            {"usage", usageObject(action.usage)}};
        request->exchange->send("data: " + dump(chunk) + "\n\ndata: [DONE]\n\n");
        request->exchange->finish();
    } else {
        const std::int64_t created = unixMilliseconds(m_clock.systemNow()) / 1000;
        const json answer = {{"id", request->callerRequestId},
                             {"object", "chat.completion"},
                             {"created", created},
                             {"model", request->version},
                             {"choices",
                              json::array({{{"index", 0},
                                            {"message", {{"role", "assistant"}, {"content", request->text}}},
                                            {"finish_reason", reason}}})},
                             {"usage", usageObject(action.usage)}};
        request->exchange->respond(200,
                                   {{"content-type", std::string(jsonType)},
                                    {"x-request-id", request->callerRequestId},
                                    {"x-crocuslane-version", request->version},
                                    {"x-crocuslane-session", request->sessionToken}},
                                   dump(answer));
    }
    m_requestsByExchange.erase(request->exchange.get());
    m_requests.erase(action.request);
}

void caller_interface::carryOut(const refuse_request &action)
{
    caller_request *request = find(action.request);
    if (!request) {
        return;
    }
    const std::string body = errorBody(action.error, request->callerRequestId);
    if (request->isStreaming && request->hasBegun) {
        request->exchange->send("event: error\ndata: " + body + "\n\n");
        request->exchange->finish();
    } else {
        header_list headers = {{"content-type", std::string(jsonType)}, {"x-request-id", request->callerRequestId}};
        if (action.error.retryAfterSeconds > 0) {
            headers.push_back({"retry-after", fmt::format("{:.0f}", std::max(1.0, action.error.retryAfterSeconds))});
        }
        request->exchange->respond(httpStatus(action.error.code), headers, body);
    }
    m_requestsByExchange.erase(request->exchange.get());
    m_requests.erase(action.request);
}

void caller_interface::carryOut(const answer_call &action)
{
    caller_request *request = find(action.request);
    if (!request) {
        return;
    }
    request->exchange->respond(action.status,
                               {{"content-type", std::string(jsonType)}, {"x-request-id", request->callerRequestId}},
                               action.body);
    m_requestsByExchange.erase(request->exchange.get());
    m_requests.erase(action.request);
}

} // namespace crocuslane
