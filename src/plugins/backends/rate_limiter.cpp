#include "plugins/backends/rate_limiter.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::chrono::milliseconds membersUpdateInterval{500};
// A shorter one would be rounded to none.
constexpr std::chrono::milliseconds shortestDelay{1};

bool haveSameShares(const runner_limit &left, const runner_limit &right)
{
    return left.requestsPerSecond == right.requestsPerSecond && left.sharedBy == right.sharedBy
        && left.turn == right.turn;
}

} // namespace

rate_limiter::rate_limiter(const vm_id &self, source_list sources)
    : m_sources(std::move(sources))
    , m_shares(self)
{
}

void rate_limiter::setMembers(const member_view *members)
{
    m_members = members;
}

bool rate_limiter::hasLimits(steady_time now) const
{
    return std::any_of(m_sources.begin(), m_sources.end(), [now](const auto *each) { return each->hasLimits(now); });
}

std::optional<runner_limit> rate_limiter::limitOf(runner_key runner, steady_time now) const
{
    std::optional<runner_limit> lowest;
    for (const runner_limit_source *source : m_sources) {
        const std::optional<runner_limit> limit = source->limitOf(runner, now);
        if (limit && (!lowest || limit->requestsPerSecond < lowest->requestsPerSecond)) {
            lowest = limit;
        }
    }
    return lowest;
}

rate_limiter::permits *rate_limiter::find(runner_key runner, steady_time now)
{
    const std::optional<runner_limit> limit = limitOf(runner, now);
    if (!limit) {
        m_permits.erase(runner);
        return nullptr;
    }
    if (now >= m_nextMembersUpdate) {
        m_nextMembersUpdate = now + membersUpdateInterval;
        m_shares.setMembers(m_members);
        ++m_membersVersion;
        std::erase_if(m_permits, [&](const auto &each) { return !limitOf(each.first, now); });
    }
    permits &found = m_permits[runner];
    if (!haveSameShares(found.limit, *limit) || found.membersVersion != m_membersVersion) {
        found.membersVersion = m_membersVersion;
        found.share = m_shares.shareOf(runner, *limit);
        found.bucket.setRate(found.share.requestsPerSecond, found.share.burst, now);
    }
    found.limit = *limit;
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
    std::optional<duration> delay;
    if (found->share.requestsPerSecond > 0.0) {
        const double seconds = found->bucket.secondsToNext(now);
        delay = seconds <= 0.0 ? duration::zero() : std::max<duration>(fromSeconds(seconds), shortestDelay);
    }
    if (found->limit.until) {
        const duration left = *found->limit.until - now;
        delay = std::min(delay.value_or(left), left);
    }
    return delay;
}

double rate_limiter::rate(runner_key runner, steady_time now)
{
    const permits *found = find(runner, now);
    return found == nullptr ? 0.0 : found->share.requestsPerSecond;
}

} // namespace crocuslane
