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
    /// Mean length in tokens of an answer whose prompt doesn't set the length.
    std::uint32_t meanAnswerTokens = 60;
    /// "address:port" of the weight store. When empty, loading a version takes engine_settings::loadTime.
    std::string weightService;
};

/// Runner on one port: an engine_model with an HTTP interface.
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
    /// A request that the engine has accepted and that hasn't ended.
    struct active_run;
    /// How a request ended, for `GET /ran`.
    struct run_record {
        std::string attempt;
        std::string version;
        std::uint32_t resumeFrom = 0;
        std::uint32_t tokens = 0;
        std::string outcome;
    };

    void startRequest(const std::shared_ptr<standin_exchange> &exchange);
    void cancelRequest(standin_exchange &exchange);
    void answerLoad(standin_exchange &exchange) const;
    void answerCacheEvents(standin_exchange &exchange) const;
    void receiveOrder(standin_exchange &exchange);
    void exportPrefix(standin_exchange &exchange) const;
    void importPrefix(standin_exchange &exchange);
    void answerRan(standin_exchange &exchange) const;

    void deliverEvent(const engine_event &event);
    void deliverTokens(active_run &run, const engine_event &event);
    void deliverEnd(active_run &run, const engine_event &event);
    void endRun(std::uint64_t request, const std::string &outcome);
    void continueDownload(steady_time now);
    void crash();

    engine_standin_settings m_settings;
    engine_model m_engine;
    std::unordered_map<std::uint64_t, std::shared_ptr<active_run>> m_runs;
    std::map<std::string, std::uint64_t> m_requestOfAttempt;
    std::deque<run_record> m_runRecords;
    std::uint64_t m_nextRequest = 1;
    bool m_rejects = false;
    /// Number of the next requests whose connection is closed after m_breakAfterTokens tokens.
    std::uint32_t m_streamsToBreak = 0;
    std::uint32_t m_breakAfterTokens = 0;
    std::future<bool> m_download;
    std::optional<version_id> m_downloadingVersion;
    steady_time m_nextDownloadCheck = steady_time::max();
};

} // namespace crocuslane
