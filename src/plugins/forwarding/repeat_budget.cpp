#include "plugins/forwarding/repeat_budget.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr int bucketsPerWindow = 20;
// Part of the limit that is used: repeats that this VM sent at the end of its window may arrive in the next one.
constexpr double usedPart = 0.8;

} // namespace

repeat_budget::repeat_budget(limit limit)
    : m_limit(limit)
{
}

std::int64_t repeat_budget::slotOf(steady_time now) const
{
    return now.time_since_epoch() / (m_limit.window / bucketsPerWindow);
}

repeat_budget::bucket &repeat_budget::current(const service_id &service, steady_time now)
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

repeat_budget::totals repeat_budget::sum(const service_id &service, steady_time now) const
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
            result.repeats += each.repeats;
        }
    }
    return result;
}

void repeat_budget::noteRequest(const service_id &service, steady_time now)
{
    ++current(service, now).requests;
}

bool repeat_budget::take(const service_id &service, std::size_t vms, steady_time now)
{
    const totals used = sum(service, now);
    const double allowance = m_limit.allowance / static_cast<double>(std::max<std::size_t>(vms, 1));
    if (used.repeats + 1 > usedPart * (m_limit.share * used.requests + allowance)) {
        return false;
    }
    ++current(service, now).repeats;
    return true;
}

} // namespace crocuslane
