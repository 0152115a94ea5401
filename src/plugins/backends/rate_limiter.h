#pragma once

#include "base/request_bucket.h"
#include "plugins/backends/rate_limit_table.h"
#include "plugins/backends/rate_shares.h"

namespace crocuslane {

/// Keeps the limits that runners state: decides when this VM may send a request to a runner, so that all VMs together
/// send no more than it takes.
class rate_limiter
{
public:
    rate_limiter(const vm_id &self, const rate_limit_table &limits);

    /// @p members is null when this VM runs without other entry VMs.
    void setMembers(const member_view *members);

    /// A request was sent to the runner.
    void take(runner_key runner, steady_time now);
    /// Time until this VM may send the next request; zero when it may now, empty when the limit leaves it no request
    /// in the foreseeable future.
    std::optional<duration> delay(runner_key runner, steady_time now);
    /// Requests per second that this VM may send to a runner with a limit.
    double rate(runner_key runner, steady_time now);

private:
    struct permits {
        request_bucket bucket{request_bucket::initial_level::empty};
        rate_shares::share share;
        /// What the share was computed from.
        double limit = -1.0;
        std::uint64_t turn = 0;
        std::uint64_t membersVersion = 0;
    };

    /// Null when the runner has no limit.
    permits *find(runner_key runner, steady_time now);

    const rate_limit_table &m_limits;
    rate_shares m_shares;
    const member_view *m_members = nullptr;
    steady_time m_nextMembersUpdate;
    std::uint64_t m_membersVersion = 0;
    std::unordered_map<runner_key, permits> m_permits;
};

} // namespace crocuslane
