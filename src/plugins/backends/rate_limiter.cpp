#include "plugins/backends/rate_limiter.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::chrono::milliseconds membersUpdateInterval{500};
// When no VM has heard of a limit for this time, other VMs get their turn to send a request: the VMs that had it may
// have none for this runner.
constexpr std::chrono::seconds turnInterval{15};

// A shorter one would be rounded to none.
constexpr std::chrono::milliseconds shortestDelay{1};

std::uint64_t turnOf(const rate_limit_table::limit &limit, steady_time now)
{
    return now <= limit.sharedAt ? 0 : static_cast<std::uint64_t>((now - limit.sharedAt) / turnInterval);
}

} // namespace

rate_limiter::rate_limiter(const vm_id &self, const rate_limit_table &limits)
    : m_limits(limits)
    , m_shares(self)
{
}

void rate_limiter::setMembers(const member_view *members)
{
    m_members = members;
}

rate_limiter::permits *rate_limiter::find(runner_key runner, steady_time now)
{
    const rate_limit_table::limit *limit = m_limits.find(runner);
    if (limit == nullptr) {
        m_permits.erase(runner);
        return nullptr;
    }
    if (now >= m_nextMembersUpdate) {
        m_nextMembersUpdate = now + membersUpdateInterval;
        m_shares.setMembers(m_members);
        ++m_membersVersion;
        std::erase_if(m_permits, [this](const auto &each) { return m_limits.find(each.first) == nullptr; });
    }
    permits &found = m_permits[runner];
    const std::uint64_t turn = turnOf(*limit, now);
    if (found.limit != limit->requestsPerSecond || found.turn != turn || found.membersVersion != m_membersVersion) {
        found.limit = limit->requestsPerSecond;
        found.turn = turn;
        found.membersVersion = m_membersVersion;
        found.share = m_shares.shareOf(runner, found.limit, turn);
        found.bucket.setRate(found.share.requestsPerSecond, found.share.burst, now);
    }
    return &found;
}

void rate_limiter::take(runner_key runner, steady_time now)
{
    if (permits *found = find(runner, now)) {
        found->bucket.tryTake(now);
    }
}

std::optional<duration> rate_limiter::delay(runner_key runner, steady_time now)
{
    permits *found = find(runner, now);
    if (found == nullptr) {
        return duration::zero();
    }
    if (found->share.requestsPerSecond <= 0.0) {
        return std::nullopt;
    }
    const double seconds = found->bucket.secondsToNext(now);
    return seconds <= 0.0 ? duration::zero() : std::max<duration>(fromSeconds(seconds), shortestDelay);
}

double rate_limiter::rate(runner_key runner, steady_time now)
{
    const permits *found = find(runner, now);
    return found == nullptr ? 0.0 : found->share.requestsPerSecond;
}

} // namespace crocuslane
