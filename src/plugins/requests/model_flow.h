#pragma once

#include "plugins/requests/flow_environment.h"

#include <set>
#include <unordered_map>

namespace crocuslane {

/// Lifecycle of model requests, from their arrival to the end of the answer.
class model_flow
{
public:
    explicit model_flow(flow_environment &environment);

    void receive(const model_request &request, const caller &caller, action_list &actions);
    /// Called when the dispatch queue reaches the request.
    dispatch_result tryStart(const request_id &request, action_list &actions);
    /// Ends a request that another one has displaced from the full queue.
    void dropFromQueue(const request_id &request, action_list &actions);
    void abandon(const request_id &request, action_list &actions);
    void expire(const request_id &request, action_list &actions);
    // The next three functions ignore attempts that have ended or belong to another flow.
    void receiveToken(const token_received &token, action_list &actions);
    void finishAttempt(const attempt_finished &finished, action_list &actions);
    void failAttempt(attempt_number attempt, attempt_failure failure, action_list &actions);
    void handleBillDurable(const request_id &request, action_list &actions);

    bool contains(const request_id &request) const;
    std::size_t size() const;

private:
    struct attempt {
        attempt_number number = 0;
        runner_id runner;
        steady_time started;
        std::optional<steady_time> firstToken;
    };

    /// A request that has not ended yet.
    struct active_request {
        model_request request;
        caller callerIdentity;
        version_candidates candidates;
        /// Index of the current version in candidates.
        std::size_t candidateIndex = 0;
        work_estimate work;
        admission_grant admissionGrant;
        std::vector<attempt> attempts;
        std::set<runner_id> triedRunners;
        unsigned attemptsStarted = 0;
        bool hasHedged = false;
        /// Attempts that were started, except those that certainly failed before the runner ran anything.
        unsigned attemptsThatMayHaveRun = 0;
        bool hasCertainlyRun = false;
        bool hasBegun = false;
        /// Index of the next token to be sent to the caller.
        std::uint32_t nextTokenIndex = 0;
        /// Cost of the empty answers of earlier versions, which were not forwarded to the caller.
        std::uint64_t earlierAnswersCost = 0;
        bool isAwaitingBill = false;
        finish_answer finishAction;
    };

    const version_id &versionOf(const active_request &active) const;
    pick_request pickRequest(const active_request &active) const;
    bool hasForwardedTokens(const active_request &active) const;
    execution_state executionOf(const active_request &active) const;
    void selectVersionWithRunner(active_request &active);
    void enqueue(active_request &active, bool isContinuation);
    void
    startAttempt(active_request &active, const pick_request &pick, const runner_choice &choice, action_list &actions);
    void hedge(active_request &active, action_list &actions);
    /// Switches to the next candidate version that may serve the request and has a runner. Returns false when there is
    /// none.
    bool switchToNextPermittedVersion(active_request &active);
    void cancelAttempts(active_request &active, std::optional<attempt_number> exceptAttempt, action_list &actions);
    void removeAttempt(active_request &active, attempt_number number, std::optional<attempt_failure> failure);
    void retry(active_request &active, attempt_failure failure, action_list &actions);
    void escalate(active_request &active);
    void beginAnswer(active_request &active, action_list &actions);
    void charge(const active_request &active, const token_usage &usage);
    void chargePartialAnswer(const active_request &active);
    void observe(const active_request &active,
                 const attempt &attempt,
                 const token_usage &usage,
                 finish_reason reason,
                 bool hasFailed);
    void endWithError(active_request &active, request_error error, action_list &actions);
    void finish(active_request &active, action_list &actions);
    void erase(const request_id &request);
    active_request *findByAttempt(attempt_number attempt);

    flow_environment &m_environment;
    std::unordered_map<request_id, active_request> m_activeRequests;
    std::unordered_map<attempt_number, request_id> m_requestsByAttempt;
};

} // namespace crocuslane
