#include "log/log_standin.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocuslane {

using nlohmann::json;

namespace {

constexpr std::string_view streamPrefix = "/streams/";
constexpr std::string_view streamSuffix = "/records";
constexpr std::size_t maximumRecordsPerRead = 10000;
constexpr std::uint64_t maximumWaitMilliseconds = 60000;
constexpr std::size_t maximumRecordBytes = 1U << 20U;
constexpr std::chrono::seconds retentionCheckInterval{1};

/// Returns the name of the stream in @p path, empty when @p path isn't that of a stream.
std::string streamOfPath(std::string_view path)
{
    if (!path.starts_with(streamPrefix) || !path.ends_with(streamSuffix)
        || path.size() <= streamPrefix.size() + streamSuffix.size()) {
        return {};
    }
    path.remove_prefix(streamPrefix.size());
    path.remove_suffix(streamSuffix.size());
    return std::string(path);
}

} // namespace

log_standin::log_standin(standin_loop &loop, const clock &clock, const log_standin_settings &settings)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(settings)
    , m_appendLimiter(settings.appendsPerSecond)
    , m_retention(settings.retention)
{
    applyRetention();
}

void log_standin::handle(const std::shared_ptr<standin_exchange> &exchange)
{
    const std::string stream = streamOfPath(exchange->request().path);
    if (stream.empty()) {
        answerError(*exchange, 404, "not_found", "expected /streams/NAME/records");
        return;
    }
    if (exchange->request().method != "POST") {
        read(exchange, stream);
        return;
    }
    if (m_appendDelayMilliseconds == 0) {
        append(exchange, stream);
        return;
    }
    const auto delay = std::chrono::milliseconds(m_appendDelayMilliseconds);
    m_loop.callAt(m_clock.steadyNow() + delay, [this, exchange, stream] { append(exchange, stream); });
}

void log_standin::append(const std::shared_ptr<standin_exchange> &exchange, const std::string &stream)
{
    const standin_request &request = exchange->request();
    const std::string_view id = request.header("x-record-id");
    if (id.empty()) {
        answerError(*exchange, 400, "bad_request", "the header x-record-id is missing");
        return;
    }
    if (request.body.size() > maximumRecordBytes) {
        answerError(*exchange, 413, "too_large", "the record is larger than 1 MiB");
        return;
    }
    if (!m_appendLimiter.tryAcquire(m_clock.steadyNow())) {
        ++m_limitedAppends;
        answerError(*exchange, 429, "rate_limited", "the rate limit for appends is exceeded; nothing was stored");
        return;
    }
    const log_offset offset = m_store.stream(stream).append(std::string(id), request.body, m_clock.systemNow());
    ++m_appends;
    if (m_appendAnswersToLose > 0) {
        --m_appendAnswersToLose;
        exchange->drop();
    } else {
        exchange->answer(200, json{{"offset", offset}}.dump() + "\n");
    }
    answerWaitingReaders(stream);
}

void log_standin::read(const std::shared_ptr<standin_exchange> &exchange, const std::string &stream)
{
    const standin_request &request = exchange->request();
    waiting_reader reader;
    reader.stream = stream;
    reader.from = request.number("from", 0);
    reader.maximum = std::min<std::uint64_t>(request.number("max", 1000), maximumRecordsPerRead);
    reader.exchange = exchange;
    const std::uint64_t wait = std::min(request.number("wait_ms", 0), maximumWaitMilliseconds);
    if (wait == 0 || reader.from < m_store.stream(stream).endOffset()) {
        answerRead(reader);
        return;
    }
    m_waitingReaders.push_back(reader);
    const std::weak_ptr<standin_exchange> waiting = exchange;
    m_loop.callAt(m_clock.steadyNow() + std::chrono::milliseconds(wait), [this, waiting] {
        const auto found =
            std::find_if(m_waitingReaders.begin(), m_waitingReaders.end(), [&](const waiting_reader &candidate) {
                return candidate.exchange == waiting.lock();
            });
        if (found != m_waitingReaders.end()) {
            answerRead(*found);
            m_waitingReaders.erase(found);
        }
    });
    exchange->onClosed([this, key = exchange.get()] {
        std::erase_if(m_waitingReaders,
                      [key](const waiting_reader &candidate) { return candidate.exchange.get() == key; });
    });
}

void log_standin::answerRead(const waiting_reader &reader)
{
    const log_stream &stream = m_store.stream(reader.stream);
    json records = json::array();
    for (const log_record &record : stream.read(reader.from, reader.maximum)) {
        records.push_back({{"offset", record.offset},
                           {"id", record.id},
                           {"time_ms", unixMilliseconds(record.appendTime)},
                           {"payload", encodeBase64(record.payload)}});
    }
    const json answer{{"first", stream.firstOffset()}, {"end", stream.endOffset()}, {"records", records}};
    reader.exchange->answer(200, answer.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

void log_standin::answerWaitingReaders(const std::string &stream)
{
    const log_offset end = m_store.stream(stream).endOffset();
    for (auto reader = m_waitingReaders.begin(); reader != m_waitingReaders.end();) {
        if (reader->stream == stream && reader->from < end) {
            answerRead(*reader);
            reader = m_waitingReaders.erase(reader);
        } else {
            ++reader;
        }
    }
}

void log_standin::applyRetention()
{
    m_store.removeOlderThan(m_clock.systemNow() - std::chrono::duration_cast<system_time::duration>(m_retention));
    m_loop.callAt(m_clock.steadyNow() + retentionCheckInterval, [this] { applyRetention(); });
}

bool log_standin::setFault(const std::string &key, const json &value)
{
    if (key == "appends_per_s") {
        m_appendLimiter.setRate(value.get<double>());
    } else if (key == "retention_ms") {
        m_retention = std::chrono::milliseconds(value.get<std::uint64_t>());
    } else if (key == "append_delay_ms") {
        m_appendDelayMilliseconds = value.get<std::uint32_t>();
    } else if (key == "lose_append_answers") {
        m_appendAnswersToLose = value.get<std::uint32_t>();
    } else {
        return false;
    }
    return true;
}

void log_standin::clearFaults()
{
    m_appendLimiter.setRate(m_settings.appendsPerSecond);
    m_retention = m_settings.retention;
    m_appendDelayMilliseconds = 0;
    m_appendAnswersToLose = 0;
}

void log_standin::describeFaults(json &faults) const
{
    faults["appends_per_s"] = m_appendLimiter.rate();
    faults["append_delay_ms"] = m_appendDelayMilliseconds;
    faults["lose_append_answers"] = m_appendAnswersToLose;
    faults["appends"] = m_appends;
    faults["limited"] = m_limitedAppends;
}

} // namespace crocuslane
