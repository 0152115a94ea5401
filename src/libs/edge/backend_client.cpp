#include "edge/backend_client.h"

#include "edge/event_sink.h"
#include "net/http_client.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace crocuslane {

namespace {

constexpr std::chrono::milliseconds connectTimeout{500};
constexpr std::string_view dataPrefix = "data: ";
constexpr std::size_t maximumLineBytes = 256UL * 1024UL;
// A million tokens.
constexpr std::size_t maximumStreamBytes = 256UL * 1024UL * 1024UL;

} // namespace

struct backend_client::stream_state {
    std::uint32_t status = 0;
    std::string buffer;
    std::optional<finish_reason> reason;
    token_usage usage;
    bool isBroken = false;
};

struct backend_client::attempt_state {
    transfer_number transfer = 0;
    std::string address;
    bool isStream = false;
};

backend_client::backend_client(http_client &http, event_sink &sink)
    : m_http(http)
    , m_sink(sink)
{
}

backend_client::~backend_client() = default;

void backend_client::start(const start_attempt &action, const model_body &body)
{
    nlohmann::json content = {{"model", action.version.value()},
                              {"stream", true},
                              {"priority", action.priority},
                              {"resume_from", action.resumeFrom}};
    if (body.maximumTokens > 0) {
        content["max_tokens"] = body.maximumTokens;
    }
    std::string text = content.dump();
    // The messages are already JSON text. Parsing and writing them again would cost as much as all other processing of
    // the request.
    text.back() = ',';
    text += "\"messages\":" + body.messages + '}';

    http_client_request request;
    request.method = "POST";
    request.address = action.address;
    request.target = "/v1/chat/completions";
    request.headers = {"content-type: application/json",
                       fmt::format("x-attempt-id: {}-{}", action.request.value(), action.attempt)};
    request.body = std::move(text);
    request.connectTimeout = connectTimeout;
    request.silenceLimit = action.silenceLimit;
    request.maximumBodyBytes = maximumStreamBytes;
    const auto stream = std::make_shared<stream_state>();
    const attempt_number attempt = action.attempt;
    request.onStatus = [stream](std::uint32_t status) { stream->status = status; };
    request.onData = [this, stream, attempt](std::string_view data) { handleStreamData(attempt, *stream, data); };
    request.onEnd = [this, stream, attempt](transfer_result result, std::uint32_t status) {
        stream->status = result == transfer_result::not_connected ? 0 : status;
        handleStreamEnd(attempt, *stream, result != transfer_result::not_connected);
    };
    m_attempts[attempt] = {m_http.start(std::move(request)), action.address, true};
}

void backend_client::handleStreamData(attempt_number attempt, stream_state &stream, std::string_view data)
{
    if (stream.status != 200) {
        return;
    }
    stream.buffer += data;
    std::size_t start = 0;
    for (std::size_t end = stream.buffer.find('\n'); end != std::string::npos; end = stream.buffer.find('\n', start)) {
        handleStreamLine(attempt, stream, std::string_view(stream.buffer).substr(start, end - start));
        start = end + 1;
    }
    stream.buffer.erase(0, start);
    if (stream.buffer.size() > maximumLineBytes) {
        giveUp(attempt);
    }
}

void backend_client::giveUp(attempt_number attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    m_http.cancel(found->second.transfer);
    m_attempts.erase(found);
    m_sink.deliver(attempt_failed{attempt, attempt_failure::oversized});
}

void backend_client::handleStreamLine(attempt_number attempt, stream_state &stream, std::string_view line)
{
    if (!line.starts_with(dataPrefix) || stream.isBroken) {
        return;
    }
    line.remove_prefix(dataPrefix.size());
    if (line.starts_with("[DONE]")) {
        return;
    }
    const nlohmann::json chunk = nlohmann::json::parse(line, nullptr, false);
    try {
        const nlohmann::json &choice = chunk.at("choices").at(0);
        const nlohmann::json &delta = choice.at("delta");
        if (delta.contains("content") && delta["content"].is_string()) {
            m_sink.deliver(token_received{attempt, chunk.at("index"), delta["content"]});
        }
        if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
            stream.reason =
                finishReasonFromName(choice["finish_reason"].get<std::string>()).value_or(finish_reason::stop);
            const nlohmann::json &usage = chunk.at("usage");
            stream.usage = {
                usage.at("prompt_tokens"), usage.value("cached_prompt_tokens", 0U), usage.at("completion_tokens")};
        }
    } catch (const nlohmann::json::exception &) {
        // The tokens after an unreadable chunk could leave a gap in the answer, so the rest of the stream is ignored.
        stream.isBroken = true;
    }
}

void backend_client::handleStreamEnd(attempt_number attempt, const stream_state &stream, bool wasSent)
{
    if (m_attempts.erase(attempt) == 0) {
        return;
    }
    if (!wasSent) {
        m_sink.deliver(attempt_failed{attempt, attempt_failure::not_sent});
        return;
    }
    if (stream.status == 200 && stream.reason && !stream.isBroken) {
        m_sink.deliver(attempt_finished{attempt, *stream.reason, stream.usage});
        return;
    }
    const bool wasRejected = stream.status >= 400 && stream.status != 500;
    m_sink.deliver(attempt_failed{attempt, wasRejected ? attempt_failure::rejected : attempt_failure::connection_lost});
}

void backend_client::start(const start_call &action, const call_body &body)
{
    http_client_request request;
    request.method = "POST";
    request.address = action.address;
    request.target = "/operations/" + body.operation;
    request.headers = {"content-type: application/json", "x-request-id: " + action.request.value()};
    if (!body.idempotencyKey.empty()) {
        request.headers.push_back("idempotency-key: " + body.idempotencyKey);
    }
    request.body = body.content;
    request.connectTimeout = connectTimeout;
    request.timeout = action.timeout;
    const auto answer = std::make_shared<std::string>();
    const attempt_number attempt = action.attempt;
    request.onData = [answer](std::string_view data) { *answer += data; };
    request.onEnd = [this, answer, attempt](transfer_result result, std::uint32_t status) {
        if (m_attempts.erase(attempt) == 0) {
            return;
        }
        if (result == transfer_result::complete && status != 429 && status != 503) {
            m_sink.deliver(call_answered{attempt, status, *answer});
            return;
        }
        attempt_failure failure = attempt_failure::connection_lost;
        if (result == transfer_result::not_connected) {
            failure = attempt_failure::not_sent;
        } else if (result == transfer_result::complete) {
            failure = attempt_failure::rejected;
        }
        m_sink.deliver(attempt_failed{attempt, failure});
    };
    m_attempts[attempt] = {m_http.start(std::move(request)), action.address, false};
}

void backend_client::cancel(const cancel_attempt &action)
{
    const auto found = m_attempts.find(action.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    // The engine stops the attempt when its connection is closed.
    m_http.cancel(found->second.transfer);
    m_attempts.erase(found);
}

} // namespace crocuslane
