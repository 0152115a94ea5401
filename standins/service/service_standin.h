#pragma once

#include "http/standin.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace crocuslane {

struct service_standin_settings {
    /// Maximum number of running calls.
    std::uint32_t slots = 8;
    /// Maximum number of queued calls; further ones are rejected.
    std::uint32_t maximumQueue = 100;
    duration callTime = std::chrono::milliseconds(20);
};

/// Stand-in for a plain service: runs `POST` and `GET /operations/NAME` and records every call that it ran.
class service_standin : public standin
{
public:
    service_standin(standin_loop &loop, const clock &clock, const service_standin_settings &settings);

    void handle(const std::shared_ptr<standin_exchange> &exchange) override;
    bool setFault(const std::string &key, const nlohmann::json &value) override;
    void clearFaults() override;
    void describeFaults(nlohmann::json &faults) const override;

private:
    struct call_record {
        std::string operation;
        std::string idempotencyKey;
        std::string requestId;
        std::string body;
        std::int64_t startMilliseconds = 0;
        bool isFinished = false;
        bool isAnswered = false;
    };

    void receiveCall(const std::shared_ptr<standin_exchange> &exchange);
    void startCall(const std::shared_ptr<standin_exchange> &exchange);
    void finishCall(const std::shared_ptr<standin_exchange> &exchange, std::size_t index);
    void answerRan(standin_exchange &exchange) const;
    void answerLoad(standin_exchange &exchange) const;

    standin_loop &m_loop;
    const clock &m_clock;
    service_standin_settings m_settings;
    std::deque<call_record> m_callRecords;
    /// Number of calls run with each idempotency key.
    std::map<std::string, std::uint32_t> m_runCountOfKey;
    std::deque<std::shared_ptr<standin_exchange>> m_queue;
    std::uint32_t m_runningCalls = 0;
    std::uint32_t m_callMilliseconds = 0;
    std::uint32_t m_answersToDrop = 0;
    std::uint32_t m_callsToFail = 0;
    bool m_rejects = false;
    bool m_isLeaving = false;
};

} // namespace crocuslane
