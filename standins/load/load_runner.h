#pragma once

#include "load/load_plan.h"
#include "load/time_histogram.h"
#include "load/transfer.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuslane {

/// Bounds of a run.
struct load_limits {
    std::uint64_t requests = 1000;
    duration sendTime = std::chrono::seconds(30);
    /// Maximum time to wait for answers after the last request was sent; then the rest counts as unfinished.
    duration drainTime = std::chrono::seconds(120);
    /// Maximum number of requests in progress; further ones are skipped.
    std::size_t inProgress = 500;
    /// Share of the model requests that continue the last session of the same caller group.
    double sessionShare = 0.3;
};

/// Counts and times of one kind of request.
struct kind_report {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    time_histogram firstToken;
    time_histogram betweenTokens;
    time_histogram total;
};

struct load_report {
    std::map<std::string, kind_report> kinds;
    /// By error code and execution status.
    std::map<std::pair<std::string, std::string>, std::uint64_t> errors;
    std::map<std::string, std::uint64_t> servedByVersion;
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    /// Answers whose text differs from the expected answer to the request.
    std::uint64_t wrongAnswers = 0;
    /// Answers with the mark of a wrong answer, as sent by a version with a fault.
    std::uint64_t faultyAnswers = 0;
    /// Continuations of requests at another entry VM.
    std::uint64_t continued = 0;
    /// Requests that were not sent because too many were in progress.
    std::uint64_t skipped = 0;
    /// Requests still in progress at the end of the run.
    std::uint64_t unfinished = 0;
    double seconds = 0.0;
};

/// Sends the requests of a load_plan and evaluates the answers. As callers do, it chooses among the entry VMs that the
/// entry advice lists, and continues requests at another entry VM after a lost connection.
class load_runner
{
public:
    load_runner(std::vector<std::string> entries, load_plan &plan, load_limits limits, random_source &random);
    ~load_runner();
    load_runner(const load_runner &) = delete;
    load_runner &operator=(const load_runner &) = delete;

    load_report run();

private:
    struct request_run;

    void sendNext();
    void start(const std::shared_ptr<request_run> &run);
    std::string requestBody(const request_run &run) const;
    const std::string &chooseEntry(const std::string &avoided);
    void refreshAdvice();
    void readAdvice(const transfer_outcome &outcome);
    void wait(steady_time until);
    void collectFinished();
    void finish(const std::shared_ptr<request_run> &run, const transfer_outcome &outcome);
    bool continueAtOtherEntry(const std::shared_ptr<request_run> &run, const transfer_outcome &outcome);
    void recordServed(const request_run &run, const transfer_outcome &outcome);
    void checkAnswer(const request_run &run);

    std::vector<std::string> m_entries;
    load_plan &m_plan;
    load_limits m_limits;
    random_source &m_random;
    CURLM *m_multi;
    steady_time m_start;
    steady_time m_nextAdvice;
    std::unique_ptr<transfer> m_adviceQuery;
    std::unordered_map<CURL *, std::shared_ptr<request_run>> m_runs;
    std::map<std::string, std::string> m_sessions;
    std::string m_idPrefix;
    load_report m_report;
};

} // namespace crocuslane
