#include "service/service_standin.h"

#include <nlohmann/json.hpp>

namespace crocuslane {

using nlohmann::json;

namespace {

constexpr std::string_view operationPrefix = "/operations/";

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace

service_standin::service_standin(standin_loop &loop, const clock &clock, const service_standin_settings &settings)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(settings)
{
    clearFaults();
}

void service_standin::handle(const std::shared_ptr<standin_exchange> &exchange)
{
    const std::string &path = exchange->request().path;
    if (path.starts_with(operationPrefix) && path.size() > operationPrefix.size()) {
        receiveCall(exchange);
    } else if (path == "/ran") {
        answerRan(*exchange);
    } else if (path == "/load") {
        answerLoad(*exchange);
    } else {
        answerError(*exchange, 404, "not_found", "expected /operations/NAME, /ran or /load");
    }
}

void service_standin::receiveCall(const std::shared_ptr<standin_exchange> &exchange)
{
    if (m_rejects) {
        answerError(*exchange, 503, "rejected", "the call was rejected before running");
        return;
    }
    if (m_runningCalls < m_settings.slots) {
        startCall(exchange);
        return;
    }
    if (m_queue.size() >= m_settings.maximumQueue) {
        answerError(*exchange, 429, "queue_full", "the queue is full; the call was not run");
        return;
    }
    m_queue.push_back(exchange);
}

void service_standin::startCall(const std::shared_ptr<standin_exchange> &exchange)
{
    const standin_request &request = exchange->request();
    call_record record;
    record.operation = request.path.substr(operationPrefix.size());
    record.idempotencyKey = request.header("idempotency-key");
    record.requestId = request.header("x-request-id");
    record.body = request.body;
    record.startMilliseconds = unixMilliseconds(m_clock.systemNow());
    if (!record.idempotencyKey.empty()) {
        ++m_runCountOfKey[record.idempotencyKey];
    }
    m_callRecords.push_back(std::move(record));
    ++m_runningCalls;
    const auto callTime = std::chrono::milliseconds(m_callMilliseconds);
    m_loop.callAt(m_clock.steadyNow() + callTime,
                  [this, exchange, index = m_callRecords.size() - 1] { finishCall(exchange, index); });
}

void service_standin::finishCall(const std::shared_ptr<standin_exchange> &exchange, std::size_t index)
{
    call_record &record = m_callRecords[index];
    record.isFinished = true;
    --m_runningCalls;
    if (m_answersToDrop > 0) {
        --m_answersToDrop;
        exchange->drop();
    } else if (m_callsToFail > 0) {
        --m_callsToFail;
        record.isAnswered = true;
        answerError(*exchange, 500, "failed", "the call failed after running");
    } else {
        record.isAnswered = true;
        exchange->answer(200, dump({{"operation", record.operation}, {"run", index + 1}, {"state", "done"}}));
    }
    if (!m_queue.empty()) {
        const std::shared_ptr<standin_exchange> next = m_queue.front();
        m_queue.pop_front();
        startCall(next);
    }
}

void service_standin::answerRan(standin_exchange &exchange) const
{
    json runs = json::array();
    for (std::size_t index = 0; index < m_callRecords.size(); ++index) {
        const call_record &record = m_callRecords[index];
        runs.push_back({{"run", index + 1},
                        {"operation", record.operation},
                        {"idempotency_key", record.idempotencyKey},
                        {"request_id", record.requestId},
                        {"body", record.body},
                        {"start_ms", record.startMilliseconds},
                        {"finished", record.isFinished},
                        {"answered", record.isAnswered}});
    }
    std::size_t repeated = 0;
    for (const auto &[key, count] : m_runCountOfKey) {
        repeated += count > 1 ? 1 : 0;
    }
    exchange.answer(200, dump({{"ran", runs}, {"repeated_keys", repeated}}));
}

void service_standin::answerLoad(standin_exchange &exchange) const
{
    exchange.answer(200,
                    dump({{"slots", m_settings.slots},
                          {"used", m_runningCalls},
                          {"queue", m_queue.size()},
                          {"age_ms", 0},
                          {"leaving", m_isLeaving}}));
}

bool service_standin::setFault(const std::string &key, const json &value)
{
    if (key == "call_ms") {
        m_callMilliseconds = value.get<std::uint32_t>();
    } else if (key == "drop_answers") {
        m_answersToDrop = value.get<std::uint32_t>();
    } else if (key == "fail_calls") {
        m_callsToFail = value.get<std::uint32_t>();
    } else if (key == "reject") {
        m_rejects = value.get<bool>();
    } else if (key == "leaving") {
        m_isLeaving = value.get<bool>();
    } else {
        return false;
    }
    return true;
}

void service_standin::clearFaults()
{
    const auto callTime = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.callTime);
    m_callMilliseconds = static_cast<std::uint32_t>(callTime.count());
    m_answersToDrop = 0;
    m_callsToFail = 0;
    m_rejects = false;
    m_isLeaving = false;
}

void service_standin::describeFaults(json &faults) const
{
    faults["call_ms"] = m_callMilliseconds;
    faults["drop_answers"] = m_answersToDrop;
    faults["fail_calls"] = m_callsToFail;
    faults["reject"] = m_rejects;
    faults["leaving"] = m_isLeaving;
}

} // namespace crocuslane
