#pragma once

#include "base/request_bucket.h"
#include "plugins/backends/rate_shares.h"
#include "plugins/backends/runner_limit_source.h"

#include <unordered_map>
#include <vector>

namespace crocuslane {

/// Keeps the limits of runners: decides when this VM may send a request to a runner, so that all VMs together send no
/// more than it takes. The lowest limit of all sources applies.
class rate_limiter
{
public:
    using source_list = std::vector<const runner_limit_source *>;

    rate_limiter(const vm_id &self, source_list sources);

    /// @p members is null when this VM runs without other entry VMs.
    void setMembers(const member_view *members);

    /// Whether any runner may have a limit.
    bool hasLimits(steady_time now) const;
    /// Empty when the runner has no limit.
    std::optional<runner_limit> limitOf(runner_key runner, steady_time now) const;
    /// A request was sent to the runner.
    void take(runner_key runner, steady_time now);
    /// Time until this VM may send the next request, or the limit ends; zero when it may now, empty when the limit
    /// leaves it no request in the foreseeable future.
    std::optional<duration> delay(runner_key runner, steady_time now);
    /// Requests per second that this VM may send to a runner with a limit.
    double rate(runner_key runner, steady_time now);

private:
    struct permits {
        request_bucket bucket{request_bucket::initial_level::empty};
        rate_shares::share share;
        /// What the share was computed from.
        runner_limit limit{-1.0};
        std::uint64_t membersVersion = 0;
    };

    /// Null when the runner has no limit.
    permits *find(runner_key runner, steady_time now);

    source_list m_sources;
    rate_shares m_shares;
    const member_view *m_members = nullptr;
    steady_time m_nextMembersUpdate;
    std::uint64_t m_membersVersion = 0;
    std::unordered_map<runner_key, permits> m_permits;
};

} // namespace crocuslane
