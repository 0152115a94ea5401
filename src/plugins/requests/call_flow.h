#pragma once

#include "kernel/event.h"
#include "plugins/requests/flow_environment.h"

#include <set>
#include <unordered_map>

namespace crocuslane {

/// Life of calls to plain services. A call that may not be repeated is claimed first, sent at most once, and its
/// outcome is recorded even when the caller has gone.
class call_flow
{
public:
    explicit call_flow(flow_environment &environment);

    void receive(const service_call &call, const caller &caller, action_list &actions);
    void decideClaim(const claim_decided &decision, action_list &actions);
    /// Called by the dispatch queue when it is the call's turn.
    dispatch_result tryStart(const request_id &request, action_list &actions);
    /// The call gave way to another one in a full queue.
    void dropFromQueue(const request_id &request, action_list &actions);
    void abandon(const request_id &request, action_list &actions);
    void expire(const request_id &request, action_list &actions);
    /// These ignore attempts that have ended or belong to another flow.
    void receiveAnswer(const call_answered &answer, action_list &actions);
    void failAttempt(attempt_number attempt, attempt_failure failure, action_list &actions);

    bool contains(const request_id &request) const;
    std::size_t size() const;

private:
    struct run {
        service_call call;
        caller from;
        bool isRepeatable = false;
        admission_grant grant;
        bool hasClaimGrant = false;
        bool isAbandoned = false;
        std::optional<attempt_number> attempt;
        std::set<runner_id> tried;
        unsigned attemptsStarted = 0;
        unsigned attemptsThatMayHaveRun = 0;
        bool hasCertainlyRun = false;
    };

    std::optional<request_error> check(const service_call &call, const caller &caller, bool &isRepeatable) const;
    pick_request pickRequest(const run &run) const;
    execution_state executionOf(const run &run) const;
    void enqueue(run &run);
    void retryOrEnd(run &run, attempt_failure failure, action_list &actions);
    void endClaimedCall(run &run, attempt_failure failure, action_list &actions);
    /// Ends a call of which nothing was sent; gives a granted claim back as not run.
    void endUnsent(run &run, request_error error, action_list &actions);
    void end(run &run, request_error error, action_list &actions);
    void answer(run &run, std::uint32_t status, const std::string &body, action_list &actions);
    void erase(const request_id &request);
    run *runOfAttempt(attempt_number attempt);

    flow_environment &m_environment;
    std::unordered_map<request_id, run> m_runs;
    std::unordered_map<attempt_number, request_id> m_requestByAttempt;
};

} // namespace crocuslane
