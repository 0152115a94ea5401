#include "edge/log_client.h"

#include "edge/base64.h"
#include "edge/event_sink.h"
#include "net/event_loop.h"
#include "net/http_client.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace crocuslane {

namespace {

// The log service waits this long for a new record before it answers a poll without one.
constexpr unsigned pollWaitMilliseconds = 500;
constexpr std::chrono::milliseconds pollTimeout{2500};
constexpr std::chrono::milliseconds pollRetryDelay{200};
constexpr std::chrono::milliseconds appendTimeout{2000};
constexpr unsigned recordsPerPoll = 1000;

std::optional<log_records_read> readRecords(const std::string &stream, const std::string &body, steady_time queryTime)
{
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("first") || !answer.contains("end") || !answer.contains("records")) {
        return std::nullopt;
    }
    log_records_read read{stream, {}, answer["first"], answer["end"], queryTime};
    for (const nlohmann::json &entry : answer["records"]) {
        std::optional<std::string> payload = decodeBase64(entry.at("payload").get<std::string>());
        if (!payload) {
            return std::nullopt;
        }
        read.records.push_back({entry.at("offset"),
                                entry.at("id"),
                                fromUnixMilliseconds(entry.at("time_ms").get<std::int64_t>()),
                                std::move(*payload)});
    }
    return read;
}

} // namespace

log_client::log_client(event_loop &loop, http_client &http, const clock &clock, event_sink &sink, std::string address)
    : m_loop(loop)
    , m_http(http)
    , m_clock(clock)
    , m_sink(sink)
    , m_address(std::move(address))
{
}

void log_client::follow(const follow_stream &action)
{
    const auto [entry, isNew] = m_streams.try_emplace(action.stream, followed_stream{action.from, {}});
    if (isNew) {
        poll(action.stream);
    }
}

void log_client::poll(const std::string &stream)
{
    followed_stream &followed = m_streams[stream];
    followed.body.clear();
    http_client_request request;
    request.address = m_address;
    request.target = fmt::format("/streams/{}/records?from={}&max={}&wait_ms={}",
                                 stream,
                                 followed.nextOffset,
                                 recordsPerPoll,
                                 pollWaitMilliseconds);
    request.timeout = pollTimeout;
    request.onData = [&followed](std::string_view data) { followed.body += data; };
    const steady_time queryTime = m_clock.steadyNow();
    request.onEnd = [this, stream, queryTime](transfer_result result, std::uint32_t status) {
        handlePollAnswer(stream, result == transfer_result::complete ? status : 0, queryTime);
    };
    m_http.start(std::move(request));
}

void log_client::pollLater(const std::string &stream)
{
    m_loop.schedule(pollRetryDelay, [this, stream] { poll(stream); });
}

void log_client::handlePollAnswer(const std::string &stream, std::uint32_t status, steady_time queryTime)
{
    followed_stream &followed = m_streams[stream];
    std::optional<log_records_read> read;
    if (status == 200) {
        try {
            read = readRecords(stream, followed.body, queryTime);
        } catch (const nlohmann::json::exception &) {
            read.reset();
        }
    }
    if (!read) {
        m_sink.deliver(log_unreachable{stream});
        pollLater(stream);
        return;
    }
    if (!read->records.empty()) {
        followed.nextOffset = read->records.back().offset + 1;
    } else {
        followed.nextOffset = std::max(followed.nextOffset, read->firstOffset);
    }
    m_sink.deliver(std::move(*read));
    poll(stream);
}

void log_client::append(const append_record &action)
{
    http_client_request request;
    request.method = "POST";
    request.address = m_address;
    request.target = "/streams/" + action.stream + "/records";
    request.headers = {"x-record-id: " + action.recordId, "content-type: application/octet-stream"};
    request.body = action.payload;
    request.timeout = appendTimeout;
    const auto body = std::make_shared<std::string>();
    request.onData = [body](std::string_view data) { *body += data; };
    request.onEnd = [this, body, recordId = action.recordId](transfer_result result, std::uint32_t status) {
        if (result == transfer_result::not_connected) {
            m_sink.deliver(append_failed{recordId, true});
            return;
        }
        handleAppendAnswer(recordId, result == transfer_result::complete ? status : 0, *body);
    };
    m_http.start(std::move(request));
}

void log_client::handleAppendAnswer(const std::string &recordId, std::uint32_t status, const std::string &body)
{
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    if (status == 200 && answer.is_object() && answer.contains("offset")) {
        m_sink.deliver(record_appended{recordId, answer["offset"]});
        return;
    }
    // Only these statuses guarantee that the record was not stored; after any other failure it may have been.
    const bool wasRejected = status == 429 || status == 503;
    m_sink.deliver(append_failed{recordId, wasRejected});
}

} // namespace crocuslane
