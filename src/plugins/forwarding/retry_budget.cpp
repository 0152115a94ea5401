#include "plugins/forwarding/retry_budget.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr int bucketsPerWindow = 20;
// The rest of the limit is a margin: retries sent at the end of one window may arrive at the runners in the next.
constexpr double usedShareOfLimit = 0.8;

} // namespace

retry_budget::retry_budget(limit limit)
    : m_limit(limit)
{
}

std::int64_t retry_budget::slotOf(steady_time now) const
{
    return now.time_since_epoch() / (m_limit.window / bucketsPerWindow);
}

retry_budget::bucket &retry_budget::currentBucket(const service_id &service, steady_time now)
{
    std::deque<bucket> &buckets = m_buckets[service];
    const std::int64_t slot = slotOf(now);
    if (buckets.empty() || buckets.back().slot != slot) {
        buckets.push_back({slot, 0, 0});
    }
    while (buckets.front().slot < slot - bucketsPerWindow) {
        buckets.pop_front();
    }
    return buckets.back();
}

retry_budget::totals retry_budget::sum(const service_id &service, steady_time now) const
{
    totals result;
    const auto found = m_buckets.find(service);
    if (found == m_buckets.end()) {
        return result;
    }
    const std::int64_t oldest = slotOf(now) - bucketsPerWindow;
    for (const bucket &each : found->second) {
        if (each.slot >= oldest) {
            result.requests += each.requests;
            result.retries += each.retries;
        }
    }
    return result;
}

void retry_budget::recordRequest(const service_id &service, steady_time now)
{
    ++currentBucket(service, now).requests;
}

bool retry_budget::tryTake(const service_id &service, std::size_t vmCount, steady_time now)
{
    const totals used = sum(service, now);
    const double allowance = m_limit.allowance / static_cast<double>(std::max<std::size_t>(vmCount, 1));
    if (used.retries + 1 > usedShareOfLimit * (m_limit.share * used.requests + allowance)) {
        return false;
    }
    ++currentBucket(service, now).retries;
    return true;
}

} // namespace crocuslane
