#pragma once

#include "base/deadline_set.h"
#include "base/random_source.h"
#include "kernel/event.h"
#include "plugins/forwarding/flow_tools.h"
#include "plugins/forwarding/forwarding_settings.h"
#include "plugins/forwarding/repeat_budget.h"
#include "plugins/forwarding/waiting_line.h"

#include <set>
#include <unordered_map>

namespace crocuslane {

/// Life of forwarded requests from arrival to the end of the answer.
class forward_flow
{
public:
    forward_flow(const flow_tools &tools, const forwarding_settings &settings);

    void receive(const forward_request &request, action_list &actions);
    void abandon(const request_id &request, action_list &actions);
    /// These ignore attempts that have ended.
    void receiveHead(const forward_head_received &received, action_list &actions);
    void receiveEvent(const forward_event_received &received, action_list &actions);
    void complete(const forward_completed &completed, action_list &actions);
    void fail(const forward_failed &failed, action_list &actions);
    /// Room may have become free, or runners may have come or gone.
    void dispatchWaiting(action_list &actions);
    /// Carries out what is due: deadlines, silent attempts.
    void expire(action_list &actions);
    steady_time nextDeadline() const;

    std::size_t size() const;
    /// State of the request that has been in progress for longest; empty without one.
    std::string describeOldest() const;
    std::size_t waiting() const;

private:
    struct attempt {
        attempt_number number = 0;
        runner_id runner;
        std::string version;
        steady_time started;
        /// Last sign of life.
        steady_time lastHeard;
        bool hasEvent = false;
        runner_answer_pointer answer;
        forward_answer_head head;
    };

    struct run {
        forward_request request;
        route_match match;
        service_id service;
        const engine_description *engine = nullptr;
        /// Chosen by the router; empty when the caller names it.
        std::string model;
        /// The prompt, with ids that differ between models.
        std::vector<prompt_part> prompt;
        steady_time arrived;
        steady_time deadline;
        /// When it last had to wait for room.
        steady_time waitingSince;
        std::optional<attempt> current;
        std::set<runner_id> tried;
        unsigned attempts = 0;
        /// Attempts that no statement of a runner shows to have ended before running.
        unsigned attemptsThatMayHaveRun = 0;
        bool hasBegun = false;
        steady_time firstEventAt;
        /// Longest time between two events.
        duration longestPause{};
        std::optional<unsigned> confidence;
        std::optional<std::uint64_t> lastEvent;
        /// A failure that a runner answered with; passed on when no other attempt does better.
        runner_answer_pointer failure;

        const forward_route &route() const
        {
            return *match.route;
        }
    };

    steady_time now() const;
    const engine_description *engineOf(const forward_configuration &configuration, const service_id &service) const;
    service_id chooseService(const forward_route &route, const std::string &session) const;
    void useModel(run &run, std::string model) const;
    /// Drops a weak answer of a small model before the caller has any of it; false when it is kept.
    bool escalate(run &run, action_list &actions);
    /// Confidence with which an answer is kept, though @p choice could make a better one.
    double neededConfidence(const run &run, const backend_choice &choice) const;
    version_rule versionRule(const run &run) const;
    /// A runner for one more attempt at once.
    std::optional<backend_choice> pickAgain(const run &run) const;
    backend_requirements needOf(const run &run, const version_rule &rule) const;
    bool tryStart(run &run, action_list &actions);
    void startOrWait(run &run, action_list &actions);
    void startAttempt(run &run, const backend_requirements &need, const backend_choice &choice, action_list &actions);
    void repeat(run &run, action_list &actions);
    /// Moves a request from a silent runner to another one; leaves it where it is when none can take it now.
    void leaveSilentRunner(run &run, action_list &actions);
    bool mayRepeat(const run &run) const;
    void endAttempt(run &run, attempt_end end);
    void cancelAttempt(run &run, attempt_end end, action_list &actions);
    void logRefusedHead(const run &run, const forward_answer_head &head, action_list &actions) const;
    void observe(const run &run, const attempt &attempt, bool hasFailed);
    void endWithoutAnswer(run &run, refusal_reason notRun, refusal_reason mayHaveRun, action_list &actions);
    void refuse(run &run, refusal_reason reason, action_list &actions);
    void finish(run &run, std::string_view outcome, action_list &actions);
    void schedule(const run &run);
    duration silenceLimit(const run &run) const;
    duration retryAfter(const run &run) const;
    std::size_t vmCount() const;
    run *runOf(attempt_number attempt);

    const flow_tools &m_tools;
    forwarding_settings m_settings;
    repeat_budget m_budget;
    waiting_line m_line;
    deadline_set m_deadlines;
    std::unordered_map<request_id, run> m_runs;
    std::unordered_map<attempt_number, request_id> m_byAttempt;
    attempt_number m_lastAttempt = 0;
};

} // namespace crocuslane
