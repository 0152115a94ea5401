#pragma once

#include "kernel/forward_types.h"
#include "kernel/runner_key.h"

#include <optional>
#include <unordered_map>

namespace crocuslane {

/// The rates of requests that runners take from all entry VMs together, as their answers state them.
class rate_limit_table
{
public:
    struct limit {
        double requestsPerSecond = 0.0;
        /// When the last statement of this limit was received.
        steady_time statedAt;
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
    /// Null when no limit of the runner is known.
    const limit *find(runner_key runner) const;
    std::size_t size() const;

private:
    change noteUnreadable(runner_key runner, const std::string &text);

    std::unordered_map<runner_key, limit> m_limits;
    /// The last statement of a runner that could not be read.
    std::unordered_map<runner_key, std::string> m_unreadable;
};

} // namespace crocuslane
