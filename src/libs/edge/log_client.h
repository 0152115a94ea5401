#pragma once

#include "base/clock.h"
#include "kernel/action.h"

#include <cstdint>
#include <map>
#include <string>

namespace crocuslane {

class event_loop;
class event_sink;
class http_client;

/// Reads streams of the log service by long polling, and appends records to them.
class log_client
{
public:
    log_client(event_loop &loop, http_client &http, const clock &clock, event_sink &sink, std::string address);

    void follow(const follow_stream &action);
    void append(const append_record &action);

private:
    struct followed_stream {
        log_offset nextOffset = 0;
        /// Answer of the current poll, as far as it has arrived.
        std::string body;
    };

    void poll(const std::string &stream);
    void pollLater(const std::string &stream);
    void handlePollAnswer(const std::string &stream, std::uint32_t status, steady_time queryTime);
    void handleAppendAnswer(const std::string &recordId, std::uint32_t status, const std::string &body);

    event_loop &m_loop;
    http_client &m_http;
    const clock &m_clock;
    event_sink &m_sink;
    std::string m_address;
    std::map<std::string, followed_stream> m_streams;
};

} // namespace crocuslane
