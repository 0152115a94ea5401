#pragma once

#include "kernel/forward_types.h"
#include "kernel/peer_message.h"
#include "plugins/backends/runner_limit_source.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace crocuslane {

/// The rates of requests that runners take from all entry VMs together, as their answers state them to this VM or to
/// another one.
class rate_limit_table : public runner_limit_source
{
public:
    struct limit {
        double requestsPerSecond = 0.0;
        /// Time of the last statement that this VM knows of.
        steady_time statedAt;
        /// The last statement that the other VMs know of: all VMs have about the same time here.
        steady_time sharedAt;
        double sharedRequestsPerSecond = 0.0;
    };
    enum class change {
        none,
        stated,
        lifted,
        /// The statement can't be read, and differs from the last one; the limit stays as it was.
        unreadable,
    };

    /// Takes the statement of an answer to an attempt that was started at @p startedAt. @p isGenuine tells that the
    /// answer was made by the runner for that attempt: only then a missing statement says that there is no limit.
    /// Small changes of a limit are applied and not reported.
    change
    note(runner_key runner, const stated_rate_limit &stated, bool isGenuine, steady_time startedAt, steady_time now);
    /// Takes what another VM knows. Returns stated or lifted when it is new to this VM.
    change merge(const runner_limits::entry &entry, steady_time now);
    /// Null when no limit of the runner is known.
    const limit *find(runner_key runner) const;
    std::size_t size() const;
    std::optional<runner_limit> limitOf(runner_key runner, steady_time now) const override;
    bool hasLimits(steady_time now) const override;

    bool hasChanges() const;
    /// What the other VMs don't know yet, up to the size of a message.
    runner_limits takeChanges(steady_time now);
    /// What a VM needs to know that has just been connected.
    runner_limits describe(steady_time now) const;
    /// Removes what is too old to matter.
    void expire(steady_time now);

private:
    change noteUnreadable(runner_key runner, const std::string &text);
    change state(runner_key runner, double requestsPerSecond, steady_time now);
    change mergeLimit(runner_key runner, double requestsPerSecond, steady_time at);
    change mergeLift(runner_key runner, steady_time at);
    void lift(runner_key runner, steady_time at);

    std::unordered_map<runner_key, limit> m_limits;
    /// When runners were last known to state no limit; an older statement that arrives later is ignored.
    std::unordered_map<runner_key, steady_time> m_lifted;
    std::set<runner_key> m_changed;
    /// The last statement of a runner that could not be read.
    std::unordered_map<runner_key, std::string> m_unreadable;
};

} // namespace crocuslane
