#include "engine/engine_standin.h"

#include "engine/prompt.h"
#include "enginemodel/answer_text.h"

#include <curl/curl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/name_table.h"

#include <cmath>

namespace crocuslane {

using nlohmann::json;

namespace {

constexpr std::size_t maximumRunRecords = 10000;
constexpr std::chrono::milliseconds downloadCheckInterval{50};
constexpr long downloadTimeoutSeconds = 600;
/// Reported size of the exported KV cache of one block; the cache itself isn't transferred.
constexpr std::uint64_t kvBytesPerBlock = 8U << 20U;

constexpr auto faultNames = makeNameTable<version_fault_kind>({{version_fault_kind::none, "none"},
                                                               {version_fault_kind::wrong, "wrong"},
                                                               {version_fault_kind::slow, "slow"},
                                                               {version_fault_kind::empty, "empty"}});

steady_time now()
{
    return std::chrono::steady_clock::now();
}

std::uint32_t answerLength(std::uint64_t contentHash, const version_id &version, std::uint32_t mean)
{
    // Exponentially distributed, so that a few answers are several times longer than the mean.
    const double uniform = uniformFromHash(contentHash, hashText(version.value()));
    return 1 + static_cast<std::uint32_t>(-std::log(1.0 - uniform) * mean);
}

std::size_t ignoreData(char *, std::size_t size, std::size_t count, void *)
{
    return size * count;
}

bool download(const std::string &url)
{
    CURL *transfer = curl_easy_init();
    curl_easy_setopt(transfer, CURLOPT_URL, url.c_str());
    curl_easy_setopt(transfer, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(transfer, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(transfer, CURLOPT_FAILONERROR, 1L);
    curl_easy_setopt(transfer, CURLOPT_TIMEOUT, downloadTimeoutSeconds);
    curl_easy_setopt(transfer, CURLOPT_WRITEFUNCTION, &ignoreData);
    const CURLcode result = curl_easy_perform(transfer);
    curl_easy_cleanup(transfer);
    return result == CURLE_OK;
}

json usageObject(const token_usage &usage)
{
    return {{"prompt_tokens", usage.promptTokens},
            {"completion_tokens", usage.outputTokens},
            {"cached_prompt_tokens", usage.cachedPromptTokens}};
}

} // namespace

struct engine_standin::active_run {
    std::shared_ptr<standin_exchange> exchange;
    std::string attempt;
    version_id version;
    std::uint64_t contentHash = 0;
    std::uint32_t resumeFrom = 0;
    std::uint32_t tokens = 0;
    /// Number of tokens after which the connection is closed.
    std::optional<std::uint32_t> breakAfter;
    bool isStreaming = false;
    std::string text;
};

engine_standin::engine_standin(engine_standin_settings settings)
    : m_settings(std::move(settings))
    , m_engine(m_settings.engine, now())
{
    if (m_settings.engine.hasExternalLoads) {
        m_nextDownloadCheck = now();
    }
}

engine_standin::~engine_standin() = default;

void engine_standin::handle(const std::shared_ptr<standin_exchange> &exchange)
{
    const standin_request &request = exchange->request();
    const bool isPost = request.method == "POST";
    if (isPost && request.path == "/v1/chat/completions") {
        startRequest(exchange);
    } else if (isPost && request.path == "/cancel") {
        cancelRequest(*exchange);
    } else if (isPost && request.path == "/orders") {
        receiveOrder(*exchange);
    } else if (request.path == "/kv") {
        isPost ? importPrefix(*exchange) : exportPrefix(*exchange);
    } else if (request.path == "/load") {
        answerLoad(*exchange);
    } else if (request.path == "/cache-events") {
        answerCacheEvents(*exchange);
    } else if (request.path == "/ran") {
        answerRan(*exchange);
    } else {
        answerError(*exchange, 404, "not_found", "no such path: " + request.path);
    }
}

void engine_standin::startRequest(const std::shared_ptr<standin_exchange> &exchange)
{
    if (m_rejects) {
        answerError(*exchange, 503, "rejected", "the request was rejected before running");
        return;
    }
    const json body = json::parse(exchange->request().body, nullptr, false);
    const std::optional<prompt> parsedPrompt = body.is_object() ? readPrompt(body) : std::nullopt;
    if (!parsedPrompt || !body.contains("model")) {
        answerError(*exchange, 400, "bad_request", "expected a JSON object with \"model\" and \"messages\"");
        return;
    }
    engine_request request;
    auto run = std::make_shared<active_run>();
    try {
        request.version = version_id(body.at("model").get<std::string>());
        request.priority = body.value("priority", 0U);
        request.resumeFrom = body.value("resume_from", 0U);
        request.maximumTokens = body.value("max_tokens", 0U);
        run->isStreaming = body.value("stream", false);
    } catch (const json::exception &error) {
        answerError(*exchange, 400, "bad_request", error.what());
        return;
    }
    request.id = m_nextRequest++;
    request.promptTokens = parsedPrompt->tokens;
    request.contentHash = hashText(parsedPrompt->text);
    request.prefixHashes = parsedPrompt->prefixHashes;
    request.answerTokens = parsedPrompt->answerTokens.value_or(
        answerLength(request.contentHash, request.version, m_settings.meanAnswerTokens));

    run->exchange = exchange;
    run->attempt = exchange->request().header("x-attempt-id");
    run->version = request.version;
    run->contentHash = request.contentHash;
    run->resumeFrom = request.resumeFrom;
    const std::uint64_t id = request.id;
    switch (m_engine.submit(std::move(request), now())) {
    case submit_result::queue_full:
        answerError(*exchange, 429, "queue_full", "the queue is full; the request was not run");
        return;
    case submit_result::version_not_loaded:
        answerError(*exchange, 404, "version_not_held", "version not held: " + run->version.value());
        return;
    case submit_result::accepted:
        break;
    }
    if (m_streamsToBreak > 0) {
        --m_streamsToBreak;
        run->breakAfter = m_breakAfterTokens;
    }
    m_requestOfAttempt[run->attempt] = id;
    if (run->isStreaming) {
        exchange->beginStream("text/event-stream");
    }
    exchange->onClosed([this, id] {
        m_engine.cancel(id, now());
        endRun(id, "cancelled");
    });
    m_runs[id] = std::move(run);
}

void engine_standin::cancelRequest(standin_exchange &exchange)
{
    const json body = json::parse(exchange.request().body, nullptr, false);
    const auto id = body.is_object() ? body.find("attempt_id") : body.end();
    if (!body.is_object() || id == body.end() || !id->is_string()) {
        answerError(exchange, 400, "bad_request", "expected {\"attempt_id\": \"…\"}");
        return;
    }
    const auto found = m_requestOfAttempt.find(id->get<std::string>());
    if (found == m_requestOfAttempt.end()) {
        exchange.answer(200, json{{"cancelled", false}}.dump() + "\n");
        return;
    }
    const std::uint64_t request = found->second;
    const std::shared_ptr<active_run> run = m_runs.at(request);
    const std::uint32_t tokens = m_engine.cancel(request, now()).value_or(0);
    endRun(request, "cancelled");
    run->exchange->drop();
    exchange.answer(200, json{{"cancelled", true}, {"tokens", tokens}}.dump() + "\n");
}

void engine_standin::answerLoad(standin_exchange &exchange) const
{
    const engine_load_report report = m_engine.loadReport(now());
    json versions = json::array();
    for (const version_id &version : report.versions) {
        versions.push_back(version.value());
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(report.age);
    exchange.answer(200,
                    json{{"slots", report.slots},
                         {"used", report.slotsUsed},
                         {"queue", report.queued},
                         {"versions", versions},
                         {"age_ms", age.count()},
                         {"leaving", report.isLeaving}}
                            .dump()
                        + "\n");
}

void engine_standin::answerCacheEvents(standin_exchange &exchange) const
{
    const std::uint64_t from = exchange.request().number("from", 0);
    std::uint64_t next = from;
    json events = json::array();
    for (const engine_cache_event &event : m_engine.cacheEvents(from, now())) {
        events.push_back({{"sequence", event.sequence},
                          {"prefix", event.prefixHash},
                          {"version", event.version.value()},
                          {"evicted", event.evicted}});
        next = event.sequence + 1;
    }
    exchange.answer(200, json{{"events", events}, {"next", next}}.dump() + "\n");
}

void engine_standin::receiveOrder(standin_exchange &exchange)
{
    try {
        const json body = json::parse(exchange.request().body);
        std::set<version_id> versions;
        for (const json &version : body.at("versions")) {
            versions.insert(version_id(version.get<std::string>()));
        }
        if (!m_engine.order(body.at("fencing").get<log_offset>(), versions, now())) {
            answerError(exchange, 409, "fencing_too_old", "an order with a higher fencing number was received before");
            return;
        }
    } catch (const json::exception &error) {
        answerError(exchange, 400, "bad_request", error.what());
        return;
    }
    exchange.answer(200, json{{"accepted", true}}.dump() + "\n");
}

void engine_standin::exportPrefix(standin_exchange &exchange) const
{
    const std::uint64_t prefix = exchange.request().number("prefix", 0);
    json versions = json::array();
    for (const version_id &version : m_engine.currentLoad().versions) {
        if (m_engine.isCached(version, prefix)) {
            versions.push_back(version.value());
        }
    }
    if (versions.empty()) {
        answerError(exchange, 404, "not_cached", "the prefix is not cached");
        return;
    }
    exchange.answer(200, json{{"prefix", prefix}, {"versions", versions}, {"bytes", kvBytesPerBlock}}.dump() + "\n");
}

void engine_standin::importPrefix(standin_exchange &exchange)
{
    try {
        const json body = json::parse(exchange.request().body);
        const version_id version(body.at("version").get<std::string>());
        m_engine.importPrefix(version, body.at("prefixes").get<std::vector<std::uint64_t>>(), now());
    } catch (const json::exception &error) {
        answerError(exchange, 400, "bad_request", error.what());
        return;
    }
    exchange.answer(200, json{{"imported", true}}.dump() + "\n");
}

void engine_standin::answerRan(standin_exchange &exchange) const
{
    json runs = json::array();
    for (const run_record &record : m_runRecords) {
        runs.push_back({{"attempt_id", record.attempt},
                        {"version", record.version},
                        {"resume_from", record.resumeFrom},
                        {"tokens", record.tokens},
                        {"state", record.outcome}});
    }
    exchange.answer(200, json{{"ran", runs}, {"running", m_runs.size()}}.dump() + "\n");
}

bool engine_standin::setFault(const std::string &key, const json &value)
{
    if (key == "reject") {
        m_rejects = value.get<bool>();
    } else if (key == "slow") {
        const auto period = std::chrono::milliseconds(value.at("for_ms").get<std::uint32_t>());
        m_engine.advanceTo(now());
        m_engine.addSlowPeriod(now(), now() + period, value.at("factor").get<double>());
    } else if (key == "version") {
        version_fault fault;
        fault.kind = faultNames.value(value.at("fault").get<std::string>()).value_or(version_fault_kind::none);
        fault.share = value.value("share", 1.0);
        fault.slowFactor = value.value("factor", fault.slowFactor);
        m_engine.setFault(version_id(value.at("id").get<std::string>()), fault);
    } else if (key == "leaving") {
        m_engine.setLeaving(value.get<bool>(), now());
    } else if (key == "break_streams") {
        m_streamsToBreak = value.at("count").get<std::uint32_t>();
        m_breakAfterTokens = value.value("after_tokens", 1U);
    } else if (key == "crash") {
        if (value.get<bool>()) {
            crash();
        }
    } else {
        return false;
    }
    return true;
}

void engine_standin::clearFaults()
{
    m_rejects = false;
    m_streamsToBreak = 0;
    for (const version_id &version : m_settings.engine.versions) {
        m_engine.setFault(version, {});
    }
    m_engine.setLeaving(false, now());
}

void engine_standin::describeFaults(json &faults) const
{
    faults["reject"] = m_rejects;
    faults["break_streams"] = m_streamsToBreak;
}

steady_time engine_standin::nextTime() const
{
    return std::min(m_engine.nextEventTime(), m_nextDownloadCheck);
}

void engine_standin::advance(steady_time now)
{
    // Copied, because the delivery of an event may call the model, which invalidates the returned reference.
    const std::vector<engine_event> events = m_engine.advanceTo(now);
    for (const engine_event &event : events) {
        deliverEvent(event);
    }
    continueDownload(now);
}

void engine_standin::deliverEvent(const engine_event &event)
{
    const auto found = m_runs.find(event.request);
    if (found == m_runs.end()) {
        return;
    }
    const std::shared_ptr<active_run> run = found->second;
    if (event.kind == engine_event_kind::tokens) {
        deliverTokens(*run, event);
        if (run->breakAfter && run->tokens >= *run->breakAfter) {
            m_engine.cancel(event.request, now());
            endRun(event.request, "broken");
            run->exchange->drop();
        }
        return;
    }
    endRun(event.request, "finished");
    deliverEnd(*run, event);
}

void engine_standin::deliverTokens(active_run &run, const engine_event &event)
{
    for (std::uint32_t index = event.index; index < event.index + event.count; ++index) {
        const std::string token = answerToken(run.version, run.contentHash, index, event.isWrong);
        ++run.tokens;
        if (!run.isStreaming) {
            run.text += token;
            continue;
        }
        // Tokens contain no character that needs to be escaped in JSON.
        run.exchange->write(fmt::format(R"(data: {{"id":"{}","object":"chat.completion.chunk","model":"{}","index":{},)"
                                        R"("choices":[{{"index":0,"delta":{{"content":"{}"}},"finish_reason":null}}]}})"
                                        "\n\n",
                                        event.request,
                                        run.version.value(),
                                        index,
                                        token));
    }
}

void engine_standin::deliverEnd(active_run &run, const engine_event &event)
{
    const std::string reason(toName(event.reason));
    json answer{
        {"id", std::to_string(event.request)}, {"model", run.version.value()}, {"usage", usageObject(event.usage)}};
    if (run.isStreaming) {
        answer["object"] = "chat.completion.chunk";
        answer["index"] = event.index;
        answer["choices"] = {{{"index", 0}, {"delta", json::object()}, {"finish_reason", reason}}};
        run.exchange->write("data: " + answer.dump() + "\n\ndata: [DONE]\n\n");
        run.exchange->endStream();
        return;
    }
    answer["object"] = "chat.completion";
    answer["choices"] = {
        {{"index", 0}, {"message", {{"role", "assistant"}, {"content", run.text}}}, {"finish_reason", reason}}};
    run.exchange->answer(200, answer.dump() + "\n");
}

void engine_standin::endRun(std::uint64_t request, const std::string &outcome)
{
    const auto found = m_runs.find(request);
    if (found == m_runs.end()) {
        return;
    }
    const active_run &run = *found->second;
    m_runRecords.push_back({run.attempt, run.version.value(), run.resumeFrom, run.tokens, outcome});
    if (m_runRecords.size() > maximumRunRecords) {
        m_runRecords.pop_front();
    }
    const auto attempt = m_requestOfAttempt.find(run.attempt);
    if (attempt != m_requestOfAttempt.end() && attempt->second == request) {
        m_requestOfAttempt.erase(attempt);
    }
    m_runs.erase(found);
}

void engine_standin::continueDownload(steady_time now)
{
    const std::optional<version_id> wanted = m_engine.versionToLoad();
    if (m_download.valid() && m_download.wait_for(std::chrono::seconds(0)) == std::future_status::ready) {
        if (m_download.get()) {
            m_engine.finishLoad(*m_downloadingVersion, now);
        }
        m_downloadingVersion.reset();
    }
    if (wanted && !m_download.valid()) {
        m_downloadingVersion = wanted;
        const std::string url = "http://" + m_settings.weightService + "/weights/" + wanted->value();
        m_download = std::async(std::launch::async, &download, url);
    }
    if (m_settings.engine.hasExternalLoads) {
        m_nextDownloadCheck = now + downloadCheckInterval;
    }
}

void engine_standin::crash()
{
    m_engine.restart(now());
    const auto runs = m_runs;
    for (const auto &[request, run] : runs) {
        endRun(request, "lost");
        run->exchange->drop();
    }
}

} // namespace crocuslane
