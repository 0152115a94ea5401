#pragma once

#include "enginemodel/engine_model.h"
#include "http/standin.h"

#include <deque>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace crocuslane {

struct engine_standin_settings {
    engine_settings engine;
    /// Mean length of an answer whose prompt doesn't set it.
    std::uint32_t meanAnswerTokens = 60;
    /// "address:port" of the weight store; empty: loads take engine_settings::loadTime.
    std::string weightService;
};

/// One model runner on one port.
class engine_standin : public standin, public timed_source
{
public:
    explicit engine_standin(engine_standin_settings settings);
    ~engine_standin() override;

    void handle(const std::shared_ptr<standin_exchange> &exchange) override;
    bool setFault(const std::string &key, const nlohmann::json &value) override;
    void clearFaults() override;
    void describeFaults(nlohmann::json &faults) const override;

    steady_time nextTime() const override;
    void advance(steady_time now) override;

private:
    struct run_state;
    struct run_record {
        std::string attempt;
        std::string version;
        std::uint32_t resumeFrom = 0;
        std::uint32_t tokens = 0;
        std::string state;
    };

    void startRequest(const std::shared_ptr<standin_exchange> &exchange);
    void cancelRequest(standin_exchange &exchange);
    void answerLoad(standin_exchange &exchange) const;
    void answerCacheEvents(standin_exchange &exchange) const;
    void takeOrder(standin_exchange &exchange);
    void exportPrefix(standin_exchange &exchange) const;
    void importPrefix(standin_exchange &exchange);
    void answerRan(standin_exchange &exchange) const;

    void deliver(const engine_event &event);
    void deliverTokens(run_state &run, const engine_event &event);
    void deliverEnd(run_state &run, const engine_event &event);
    void endRun(std::uint64_t request, const std::string &state);
    void continueLoad(steady_time now);
    void crash();

    engine_standin_settings m_settings;
    engine_model m_engine;
    std::unordered_map<std::uint64_t, std::shared_ptr<run_state>> m_runs;
    std::map<std::string, std::uint64_t> m_requestOfAttempt;
    std::deque<run_record> m_ran;
    std::uint64_t m_nextRequest = 1;
    bool m_rejects = false;
    /// Streams that end without warning, and after how many tokens of theirs.
    std::uint32_t m_brokenStreams = 0;
    std::uint32_t m_breakAfterTokens = 0;
    std::future<bool> m_download;
    std::optional<version_id> m_downloading;
    steady_time m_nextDownloadCheck = steady_time::max();
};

} // namespace crocuslane
