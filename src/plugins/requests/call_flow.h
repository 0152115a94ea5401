#pragma once

#include "kernel/event.h"
#include "plugins/requests/flow_environment.h"

#include <set>
#include <unordered_map>

namespace crocuslane {

/// Lifecycle of calls to plain services. A call that may not be repeated is claimed before it is sent, and sent at most
/// once. Its outcome is recorded even when the caller has disconnected.
class call_flow
{
public:
    explicit call_flow(flow_environment &environment);

    void receive(const service_call &call, const caller &caller, action_list &actions);
    void handleClaimDecision(const claim_decided &decision, action_list &actions);
    /// Called when the dispatch queue reaches the call.
    dispatch_result tryStart(const request_id &request, action_list &actions);
    /// Ends a call that another request has displaced from the full queue.
    void dropFromQueue(const request_id &request, action_list &actions);
    void abandon(const request_id &request, action_list &actions);
    void expire(const request_id &request, action_list &actions);
    // The next two functions ignore attempts that have ended or belong to another flow.
    void receiveAnswer(const call_answered &answer, action_list &actions);
    void failAttempt(attempt_number attempt, attempt_failure failure, action_list &actions);

    bool contains(const request_id &request) const;
    std::size_t size() const;

private:
    /// A call that has not ended yet.
    struct active_call {
        service_call call;
        caller callerIdentity;
        bool isRepeatable = false;
        admission_grant admissionGrant;
        bool hasClaimGrant = false;
        bool isAbandoned = false;
        std::optional<attempt_number> attempt;
        std::set<runner_id> triedRunners;
        unsigned attemptsStarted = 0;
        unsigned attemptsThatMayHaveRun = 0;
        bool hasCertainlyRun = false;
    };

    std::optional<request_error> check(const service_call &call, const caller &caller, bool &isRepeatable) const;
    pick_request pickRequest(const active_call &active) const;
    execution_state executionOf(const active_call &active) const;
    void enqueue(active_call &active);
    void retryOrEnd(active_call &active, attempt_failure failure, action_list &actions);
    void endClaimedCall(active_call &active, attempt_failure failure, action_list &actions);
    /// Ends a call that has not been sent, and records its claim, if granted, as not run.
    void endUnsent(active_call &active, request_error error, action_list &actions);
    void endWithError(active_call &active, request_error error, action_list &actions);
    void answer(active_call &active, std::uint32_t status, const std::string &body, action_list &actions);
    void erase(const request_id &request);
    active_call *findByAttempt(attempt_number attempt);

    flow_environment &m_environment;
    std::unordered_map<request_id, active_call> m_activeCalls;
    std::unordered_map<attempt_number, request_id> m_requestsByAttempt;
};

} // namespace crocuslane
