#pragma once

#include "base/deadline_set.h"
#include "base/random_source.h"
#include "kernel/event.h"
#include "plugins/forwarding/active_request.h"
#include "plugins/forwarding/attempt_observation.h"
#include "plugins/forwarding/escalation_policy.h"
#include "plugins/forwarding/forward_environment.h"
#include "plugins/forwarding/forward_queue.h"
#include "plugins/forwarding/forwarding_settings.h"
#include "plugins/forwarding/planned_stop.h"
#include "plugins/forwarding/retry_budget.h"
#include "plugins/forwarding/route_durations.h"
#include "plugins/forwarding/startup_queue.h"

#include <set>
#include <unordered_map>

namespace crocuslane {

/// Handles forwarded requests from arrival to the end of the answer: starts attempts at runners, queues requests that
/// no runner can take, retries failed attempts, and relays the answer to the caller.
class forward_flow
{
public:
    forward_flow(const forward_environment &environment, const forwarding_settings &settings);

    /// Before the configuration and the list of runners are read, the request waits for them within bounds. Refused
    /// when a planned stop leaves no time for it.
    void receive(const forward_request &request, action_list &actions);
    /// Starts the requests that waited for the configuration and the list of runners, once both are read.
    void startWaitingForConfiguration(action_list &actions);
    /// Cancels the request because the caller closed its connection.
    void abandon(const request_id &request, action_list &actions);
    /// This function and the three after it ignore attempts that have ended.
    void receiveHead(const forward_head_received &received, action_list &actions);
    void receiveEvent(const forward_event_received &received, action_list &actions);
    void complete(const forward_completed &completed, action_list &actions);
    void fail(const forward_failed &failed, action_list &actions);
    /// Starts queued requests after a runner may have gained free capacity, or after the list of runners changed.
    void dispatchWaiting(action_list &actions);
    /// Refuses the waiting requests that are isolated, or whose prompt has an isolated part.
    void refuseIsolated(action_list &actions);
    /// Refuses the waiting requests whose runners are all in evacuated zones or outside their home regions.
    void refuseUnplaceable(action_list &actions);
    /// Applies the home regions of a new configuration to the requests in progress, for their further attempts.
    void applyHomeRegions();
    /// Handles the requests whose deadline, queue timeout or silence timeout has expired.
    void expire(action_list &actions);
    steady_time nextDeadline() const;
    /// Limits all requests to the time that the stop leaves.
    void stop(std::optional<duration> timeLeft);
    /// False in a planned stop, once callers have had time to learn of other entry VMs.
    bool acceptsRequests() const;

    std::size_t size() const;
    /// Description of the request that has been in progress longest; empty when there is none.
    std::string describeOldest() const;
    std::size_t waiting() const;
    /// Requests refused since the start because they would not have started in time.
    std::uint64_t refusedByForecast() const;

private:
    steady_time now() const;
    /// The configuration and the list of runners are read.
    bool isConfigured() const;
    void admit(const forward_request &request, steady_time arrivedAt, action_list &actions);
    /// Why the request is refused at its arrival for earlier crashes; empty when it isn't.
    std::optional<refusal_reason> judge(active_request &active);
    /// Replaces an answer of low confidence by an attempt with the largest model, provided that the caller has received
    /// none of the answer. Returns false when the answer is kept.
    bool escalate(active_request &active, action_list &actions);
    /// @p choice is the runner that would run the larger model.
    escalation_estimate estimateOf(const active_request &active, const backend_choice &choice) const;
    version_rule versionRule(const active_request &active) const;
    /// A runner that can take another attempt now.
    std::optional<backend_choice> pickForRetry(const active_request &active) const;
    /// Refuses a request that the limits of all runners don't let start before its queue deadline.
    bool refuseAtLimit(active_request &active, action_list &actions);
    /// Refuses a new request that is predicted not to start before its queue deadline.
    bool refuseByForecast(active_request &active, action_list &actions);
    steady_time latestUsefulStart(const active_request &active) const;
    bool tryStart(active_request &active, action_list &actions);
    void startOrWait(active_request &active, action_list &actions);
    void startAttempt(active_request &active,
                      const backend_requirements &requirements,
                      const backend_choice &choice,
                      action_list &actions);
    void beginStream(active_request &active, action_list &actions);
    void retry(active_request &active, action_list &actions);
    /// Cancels the attempt at a silent runner and starts another; keeps the attempt when no other runner can take the
    /// request now.
    void moveFromSilentRunner(active_request &active, action_list &actions);
    /// Remembers how long an answered request took, if it may not be repeated.
    void recordDuration(const active_request &active);
    /// Refuses a request that may not be repeated when a planned stop leaves no time for an attempt.
    bool refuseIfTooLate(active_request &active, action_list &actions);
    void expire(active_request &active, action_list &actions);
    void endAttempt(active_request &active, attempt_end end);
    void cancelAttempt(active_request &active, attempt_end end, action_list &actions);
    /// Cancels an attempt whose answer can't be used, and starts another one if the request allows it.
    void replaceAttempt(active_request &active, action_list &actions);
    void observe(const active_request &active, const active_attempt &attempt, attempt_result result);
    void
    endWithoutAnswer(active_request &active, refusal_reason notRun, refusal_reason mayHaveRun, action_list &actions);
    void refuse(active_request &active, refusal_reason reason, action_list &actions);
    void finish(active_request &active, std::string_view outcome, action_list &actions);
    void scheduleDeadline(const active_request &active);
    /// Why the request is refused for crashes; empty when it isn't.
    std::optional<refusal_reason> isolation(const active_request &active) const;
    /// Why a waiting request is refused for the locations of its runners; empty when it isn't.
    std::optional<refusal_reason> placementRefusal(const active_request &active) const;
    std::size_t vmCount() const;
    active_request *findByAttempt(attempt_number attempt);

    const forward_environment &m_environment;
    forwarding_settings m_settings;
    retry_budget m_retryBudget;
    forward_queue m_queue;
    startup_queue m_startupQueue;
    planned_stop m_stop;
    /// Of requests that may not be repeated.
    route_durations m_durations;
    deadline_set m_deadlines;
    std::unordered_map<request_id, active_request> m_activeRequests;
    std::unordered_map<attempt_number, request_id> m_requestByAttempt;
    attempt_number m_lastAttempt = 0;
    std::uint64_t m_refusedByForecast = 0;
};

} // namespace crocuslane
