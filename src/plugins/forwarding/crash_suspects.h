#pragma once

#include "kernel/action.h"
#include "kernel/event.h"
#include "plugins/forwarding/runner_crash_detector.h"
#include "plugins/forwarding/suspect_group.h"
#include "services/backend_picker.h"
#include "services/member_view.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <set>
#include <unordered_map>

namespace crocuslane {

/// Finds prompt parts that crash the runners that begin to answer them, and requests that crash runners each time they
/// come, together with the other entry VMs, and decides which requests are refused for them. The last part of a prompt
/// is never suspected: it is the request's own.
class crash_suspects
{
public:
    struct environment {
        const clock *time = nullptr;
        vm_id self;
        /// Null when this VM runs without other entry VMs.
        member_view *members = nullptr;
    };
    enum class verdict {
        allowed,
        /// The request or a part of it is isolated, and it is sent once to find out whether it still crashes runners.
        probe,
        part_isolated,
        request_isolated,
    };

    explicit crash_suspects(environment environment);

    /// Decides about a new request.
    verdict judge(const forward_request &request);
    /// Why the request is refused; empty when neither it nor a part of it is isolated.
    std::optional<refusal_reason> isolation(const forward_request &request) const;
    /// Whether a request may be sent to another runner after @p lostRunners were lost under it.
    bool mayRepeat(const forward_request &request, unsigned lostRunners) const;

    void attemptStarted(attempt_number attempt, const forward_request &request, const runner_id &runner);
    void headReceived(attempt_number attempt);
    void eventReceived(attempt_number attempt);
    /// The attempt ended because its connection was lost, not because this VM closed it. Returns true when the answer
    /// was not under way yet.
    bool connectionLost(attempt_number attempt);
    /// The answer has arrived completely and is a success. A stream without events counts as a lost connection.
    void answered(attempt_number attempt, bool isStream);
    /// Called for every attempt, after the others.
    void attemptEnded(attempt_number attempt, attempt_end end);

    void setListed(const backend_list_read &list);
    void peerConnected(const vm_id &peer, action_list &actions);
    void merge(const crash_evidence &evidence);
    /// Detects crashes, isolates parts and sends what is new to the connected entry VMs, when due.
    void expire(action_list &actions);
    steady_time nextDeadline() const;
    /// True once after parts were isolated, so that waiting requests are checked.
    bool takeIsolationsAdded();
    void describe(nlohmann::json &status) const;

private:
    using suspect_id = suspect_group::suspect_id;

    struct attempt {
        std::vector<prompt_part> prompt;
        runner_id runner;
        runner_key key = 0;
        std::uint64_t fingerprint = 0;
        /// Hash of the request's id.
        std::uint32_t request = 0;
        unsigned events = 0;
        steady_time firstEventAt;
        steady_time soundNotedAt;
    };

    /// An attempt that this VM cancelled before the answer was under way.
    struct cancelled_attempt {
        runner_key runner = 0;
        std::uint64_t fingerprint = 0;
        std::uint32_t request = 0;
        steady_time at;
    };

    steady_time now() const;
    runner_key keyOf(const runner_id &runner) const;
    attempt *find(attempt_number attempt);
    void noteSignOfLife(const attempt &attempt);
    void noteSound(const attempt &attempt);
    void detectCrashes();
    /// Counts the cancelled attempts whose runner has ended at that time.
    void countCancelled();
    void send(action_list &actions);

    environment m_environment;
    runner_crash_detector m_runners;
    suspect_group m_parts;
    suspect_group m_requests;
    std::unordered_map<attempt_number, attempt> m_attempts;
    /// The oldest first.
    std::deque<cancelled_attempt> m_cancelled;
    std::unordered_map<runner_id, std::int64_t> m_startTimes;
    /// Runners of which the connected entry VMs don't have the newest evidence yet.
    std::set<runner_key> m_changedRunners;
    std::vector<log_decision> m_log;
    steady_time m_nextCheck;
    steady_time m_nextSend;
    steady_time m_checkUntil;
};

} // namespace crocuslane
