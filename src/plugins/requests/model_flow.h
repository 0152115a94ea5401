#pragma once

#include "plugins/requests/flow_environment.h"

#include <set>
#include <unordered_map>

namespace crocuslane {

/// Life of model requests from arrival to the end of the answer.
class model_flow
{
public:
    explicit model_flow(flow_environment &environment);

    void receive(const model_request &request, const caller &caller, action_list &actions);
    /// Called by the dispatch queue when it is the request's turn.
    dispatch_result tryStart(const request_id &request, action_list &actions);
    /// The request gave way to another one in a full queue.
    void dropFromQueue(const request_id &request, action_list &actions);
    void abandon(const request_id &request, action_list &actions);
    void expire(const request_id &request, action_list &actions);
    /// These ignore attempts that have ended or belong to another flow.
    void receiveToken(const token_received &token, action_list &actions);
    void finishAttempt(const attempt_finished &finished, action_list &actions);
    void failAttempt(attempt_number attempt, attempt_failure failure, action_list &actions);
    void billDurable(const request_id &request, action_list &actions);

    bool contains(const request_id &request) const;
    std::size_t size() const;

private:
    struct attempt {
        attempt_number number = 0;
        runner_id runner;
        steady_time started;
        std::optional<steady_time> firstToken;
    };

    struct run {
        model_request request;
        caller from;
        version_candidates candidates;
        std::size_t candidate = 0;
        work_estimate work;
        admission_grant grant;
        std::vector<attempt> attempts;
        std::set<runner_id> tried;
        unsigned attemptsStarted = 0;
        bool hasHedged = false;
        /// Attempts that were started and that nothing shows to have ended before they ran.
        unsigned attemptsThatMayHaveRun = 0;
        bool hasCertainlyRun = false;
        bool hasBegun = false;
        /// Index of the next token that the caller gets.
        std::uint32_t nextIndex = 0;
        /// Cost of weak answers that were not passed on.
        std::uint64_t earlierCost = 0;
        bool isAwaitingBill = false;
        finish_answer end;
    };

    const version_id &versionOf(const run &run) const;
    pick_request pickRequest(const run &run) const;
    bool hasForwarded(const run &run) const;
    execution_state executionOf(const run &run) const;
    void skipVersionsWithoutRunner(run &run);
    void enqueue(run &run, bool isContinuation);
    void startAttempt(run &run, const pick_request &pick, const runner_choice &choice, action_list &actions);
    void hedge(run &run, action_list &actions);
    bool nextPermittedVersion(run &run);
    void cancelAttempts(run &run, std::optional<attempt_number> except, action_list &actions);
    void forgetAttempt(run &run, attempt_number number, std::optional<attempt_failure> failure);
    void retry(run &run, attempt_failure failure, action_list &actions);
    void escalate(run &run);
    void begin(run &run, action_list &actions);
    void charge(const run &run, const token_usage &usage);
    void chargePartialAnswer(const run &run);
    void
    observe(const run &run, const attempt &attempt, const token_usage &usage, finish_reason reason, bool hasFailed);
    void end(run &run, request_error error, action_list &actions);
    void finish(run &run, action_list &actions);
    void erase(const request_id &request);
    run *runOfAttempt(attempt_number attempt);

    flow_environment &m_environment;
    std::unordered_map<request_id, run> m_runs;
    std::unordered_map<attempt_number, request_id> m_requestByAttempt;
};

} // namespace crocuslane
