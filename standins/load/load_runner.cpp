#include "load/load_runner.h"

#include "enginemodel/answer_text.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocuslane {

using nlohmann::json;

namespace {

constexpr unsigned maximumAttempts = 5;
constexpr std::chrono::seconds adviceRetryInterval{1};
constexpr std::chrono::milliseconds maximumPollTime{100};
constexpr long adviceTimeoutMilliseconds = 1000;

steady_time now()
{
    return std::chrono::steady_clock::now();
}

/// Whether the request was refused for a reason that doesn't apply to the other entry VMs.
bool isSpecificToOneEntry(const transfer_outcome &outcome)
{
    return outcome.errorExecution == "not_run"
        && (outcome.errorCode == "shutting_down" || outcome.errorCode == "configuration_unconfirmed");
}

} // namespace

struct load_runner::request_run {
    planned_request planned;
    std::string id;
    std::string entry;
    std::string session;
    std::string version;
    /// Text received by all attempts so far, and its number of tokens.
    std::string text;
    std::uint32_t tokens = 0;
    unsigned attempts = 0;
    steady_time startedAt;
    std::optional<steady_time> firstTokenAt;
    std::unique_ptr<transfer> current;
};

load_runner::load_runner(std::vector<std::string> entries, load_plan &plan, load_limits limits, random_source &random)
    : m_entries(std::move(entries))
    , m_plan(plan)
    , m_limits(limits)
    , m_random(random)
    , m_multi(curl_multi_init())
    , m_idPrefix(fmt::format("load-{:x}", systemSeed()))
{
}

load_runner::~load_runner()
{
    for (const auto &[handle, run] : m_runs) {
        curl_multi_remove_handle(m_multi, handle);
    }
    if (m_adviceQuery) {
        curl_multi_remove_handle(m_multi, m_adviceQuery->handle());
    }
    m_runs.clear();
    m_adviceQuery.reset();
    curl_multi_cleanup(m_multi);
}

load_report load_runner::run()
{
    m_start = now();
    m_nextAdvice = m_start;
    const steady_time sendEnd = m_start + m_limits.sendTime;
    steady_time nextArrival = m_start;
    while (now() < sendEnd && m_report.sent + m_report.skipped < m_limits.requests) {
        refreshAdvice();
        while (nextArrival <= now() && m_report.sent + m_report.skipped < m_limits.requests) {
            sendNext();
            nextArrival += m_plan.nextGap(nextArrival - m_start);
        }
        wait(std::min(nextArrival, sendEnd));
        collectFinished();
    }
    const steady_time drainEnd = now() + m_limits.drainTime;
    while (!m_runs.empty() && now() < drainEnd) {
        refreshAdvice();
        wait(drainEnd);
        collectFinished();
    }
    m_report.unfinished = m_runs.size();
    m_report.seconds = toSeconds(now() - m_start);
    return std::move(m_report);
}

void load_runner::sendNext()
{
    auto run = std::make_shared<request_run>();
    run->planned = m_plan.next();
    if (m_runs.size() >= m_limits.inProgress) {
        ++m_report.skipped;
        return;
    }
    run->id = fmt::format("{}-{}", m_idPrefix, ++m_report.sent);
    run->startedAt = now();
    if (run->planned.isModelRequest && m_random.unit() < m_limits.sessionShare) {
        run->session = m_sessions[run->planned.key];
    }
    ++m_report.kinds[run->planned.kind].sent;
    start(run);
}

void load_runner::start(const std::shared_ptr<request_run> &run)
{
    ++run->attempts;
    run->entry = chooseEntry(run->entry);
    transfer::request request;
    request.address = run->entry;
    request.path = run->planned.path;
    request.isModelRequest = run->planned.isModelRequest;
    request.isStreaming = run->planned.isStreaming;
    request.headers = {
        "Authorization: Bearer " + run->planned.key, "x-request-id: " + run->id, "Content-Type: application/json"};
    if (!run->planned.idempotencyKey.empty()) {
        request.headers.push_back("Idempotency-Key: " + run->planned.idempotencyKey);
    }
    request.body = run->planned.isModelRequest ? requestBody(*run) : run->planned.prompt;
    run->current = std::make_unique<transfer>(std::move(request));
    // libcurl doesn't copy the body: the transfer owns it until it is destroyed.
    m_runs[run->current->handle()] = run;
    curl_multi_add_handle(m_multi, run->current->handle());
}

std::string load_runner::requestBody(const request_run &run) const
{
    json metadata{{"kind", run.planned.kind}};
    if (!run.session.empty()) {
        metadata["session"] = run.session;
    }
    if (run.tokens > 0) {
        metadata["resume_from"] = run.tokens;
    }
    return json{{"model", run.planned.service},
                {"stream", run.planned.isStreaming},
                {"metadata", metadata},
                {"messages", {{{"role", "user"}, {"content", run.planned.prompt}}}}}
        .dump();
}

const std::string &load_runner::chooseEntry(const std::string &avoided)
{
    const std::size_t first = m_random.below(m_entries.size());
    for (std::size_t step = 0; step < m_entries.size(); ++step) {
        const std::string &candidate = m_entries[(first + step) % m_entries.size()];
        if (candidate != avoided) {
            return candidate;
        }
    }
    return m_entries[first];
}

void load_runner::refreshAdvice()
{
    if (m_adviceQuery || now() < m_nextAdvice) {
        return;
    }
    transfer::request request;
    request.address = m_entries[m_random.below(m_entries.size())];
    request.path = "/v1/entries";
    request.timeoutMilliseconds = adviceTimeoutMilliseconds;
    m_adviceQuery = std::make_unique<transfer>(std::move(request));
    curl_multi_add_handle(m_multi, m_adviceQuery->handle());
}

void load_runner::readAdvice(const transfer_outcome &outcome)
{
    m_nextAdvice = now() + adviceRetryInterval;
    const json advice = json::parse(outcome.text, nullptr, false);
    if (!outcome.isComplete || !advice.is_object() || !advice.contains("entries") || advice["entries"].empty()) {
        return;
    }
    m_entries.clear();
    for (const json &entry : advice["entries"]) {
        m_entries.push_back(entry.at("address").get<std::string>());
    }
    m_nextAdvice = now() + fromSeconds(advice.value("keep_s", 1.0));
}

void load_runner::wait(steady_time until)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(until - now());
    const auto timeout =
        std::clamp<std::chrono::milliseconds>(remaining, std::chrono::milliseconds(0), maximumPollTime);
    int running = 0;
    curl_multi_perform(m_multi, &running);
    curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(timeout.count()), nullptr);
    curl_multi_perform(m_multi, &running);
}

void load_runner::collectFinished()
{
    int remainingMessages = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &remainingMessages)) {
        CURL *handle = message->easy_handle;
        const CURLcode result = message->data.result;
        curl_multi_remove_handle(m_multi, handle);
        if (m_adviceQuery && m_adviceQuery->handle() == handle) {
            readAdvice(m_adviceQuery->finish(result));
            m_adviceQuery.reset();
            continue;
        }
        const auto found = m_runs.find(handle);
        const std::shared_ptr<request_run> run = found->second;
        m_runs.erase(found);
        finish(run, run->current->finish(result));
    }
}

void load_runner::finish(const std::shared_ptr<request_run> &run, const transfer_outcome &outcome)
{
    if (!run->firstTokenAt) {
        run->firstTokenAt = outcome.firstTokenAt;
    }
    if (!outcome.version.empty()) {
        run->version = outcome.version;
    }
    if (outcome.isComplete || run->planned.isStreaming) {
        run->text += outcome.text;
        run->tokens += outcome.tokens;
    }
    if (outcome.isComplete) {
        recordServed(*run, outcome);
        return;
    }
    if (run->planned.isModelRequest && outcome.errorCode == "session_version_withdrawn"
        && run->attempts < maximumAttempts && run->tokens == 0) {
        m_sessions.erase(run->planned.key);
        run->session.clear();
        start(run);
        return;
    }
    if (continueAtOtherEntry(run, outcome)) {
        return;
    }
    const std::string code = outcome.errorCode.empty() ? "connection_lost" : outcome.errorCode;
    const std::string execution = outcome.errorExecution.empty() ? "unknown" : outcome.errorExecution;
    ++m_report.errors[{code, execution}];
}

bool load_runner::continueAtOtherEntry(const std::shared_ptr<request_run> &run, const transfer_outcome &outcome)
{
    const bool isConnectionLost = outcome.errorCode.empty();
    if (run->attempts >= maximumAttempts || (!isConnectionLost && !isSpecificToOneEntry(outcome))) {
        return false;
    }
    if (!outcome.sessionToken.empty()) {
        run->session = outcome.sessionToken;
    }
    ++m_report.continued;
    start(run);
    return true;
}

void load_runner::recordServed(const request_run &run, const transfer_outcome &outcome)
{
    ++m_report.served;
    kind_report &kind = m_report.kinds[run.planned.kind];
    ++kind.served;
    kind.total.add(outcome.endedAt - run.startedAt);
    if (run.firstTokenAt && run.planned.isStreaming) {
        kind.firstToken.add(*run.firstTokenAt - run.startedAt);
    }
    for (const duration gap : outcome.gaps) {
        kind.betweenTokens.add(gap);
    }
    if (run.planned.isModelRequest) {
        ++m_report.servedByVersion[run.version];
        if (!outcome.sessionToken.empty()) {
            m_sessions[run.planned.key] = outcome.sessionToken;
        }
        checkAnswer(run);
    }
}

void load_runner::checkAnswer(const request_run &run)
{
    if (run.text.find(wrongTokenPrefix) != std::string::npos) {
        ++m_report.faultyAnswers;
        return;
    }
    const std::uint64_t contentHash = hashText(run.planned.prompt + '\n');
    std::string expected;
    for (std::uint32_t index = 0; index < run.planned.answerTokens; ++index) {
        expected += answerToken(version_id(run.version), contentHash, index, false);
    }
    if (run.text != expected) {
        ++m_report.wrongAnswers;
        fmt::print(stderr,
                   "croc-load: request {} got a wrong answer: {} of {} tokens, version {}\n",
                   run.id,
                   run.tokens,
                   run.planned.answerTokens,
                   run.version);
    }
}

} // namespace crocuslane
