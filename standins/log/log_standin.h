#pragma once

#include "http/standin.h"
#include "log/log_store.h"

#include <list>
#include <memory>
#include <string>

namespace crocuslane {

struct log_standin_settings {
    double appendsPerSecond = 500.0;
    duration retention = std::chrono::hours(24);
};

/// Stand-in for the log service: `POST /streams/NAME/records`, `GET /streams/NAME/records?from=&max=&wait_ms=`.
class log_standin : public standin
{
public:
    log_standin(standin_loop &loop, const clock &clock, const log_standin_settings &settings);

    void handle(const std::shared_ptr<standin_exchange> &exchange) override;
    bool setFault(const std::string &key, const nlohmann::json &value) override;
    void clearFaults() override;
    void describeFaults(nlohmann::json &faults) const override;

private:
    /// A read that waits for new records.
    struct waiting_reader {
        std::string stream;
        log_offset from = 0;
        std::size_t maximum = 0;
        std::shared_ptr<standin_exchange> exchange;
    };

    void append(const std::shared_ptr<standin_exchange> &exchange, const std::string &stream);
    void read(const std::shared_ptr<standin_exchange> &exchange, const std::string &stream);
    void answerRead(const waiting_reader &reader);
    void answerWaitingReaders(const std::string &stream);
    void applyRetention();

    standin_loop &m_loop;
    const clock &m_clock;
    log_standin_settings m_settings;
    log_store m_store;
    rate_limiter m_appendLimiter;
    duration m_retention;
    std::list<waiting_reader> m_waitingReaders;
    std::uint32_t m_appendDelayMilliseconds = 0;
    /// Number of the next appends whose answer is lost.
    std::uint32_t m_appendAnswersToLose = 0;
    std::uint64_t m_appends = 0;
    /// Appends refused by the rate limit.
    std::uint64_t m_limitedAppends = 0;
};

} // namespace crocuslane
