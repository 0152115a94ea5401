#include "plugins/admission/remote_demand.h"

#include <algorithm>

namespace crocuslane {

namespace {

// A VM's demand is stale after silenceLimitIntervals of its send intervals without a message, but not before
// smallestSilenceLimit.
constexpr duration smallestSilenceLimit = std::chrono::milliseconds(2500);
constexpr int silenceLimitIntervals = 4;
// The times at which two VMs notice that they have lost contact differ by up to this. The VM whose share would grow
// waits this long, the one whose share shrinks does not, so that both together stay within the limit.
constexpr duration staleTime = std::chrono::milliseconds(1500);
constexpr int smoothingDivisor = 4;

} // namespace

void remote_demand::set(const vm_id &vm, const std::vector<group_demand> &demand, steady_time now)
{
    const auto [found, isNew] = m_vms.try_emplace(vm);
    vm_demand &stored = found->second;
    if (!isNew) {
        const duration interval = std::min(now - stored.receivedAt, smallestSilenceLimit);
        stored.smoothedInterval += (interval - stored.smoothedInterval) / smoothingDivisor;
    }
    stored.receivedAt = now;
    for (auto &[group, last] : stored.groups) {
        last.arrivalRate = 0.0;
        last.tokensInFlight = 0;
    }
    for (const group_demand &each : demand) {
        stored.groups[each.group] = each;
    }
}

void remote_demand::remove(const vm_id &vm)
{
    m_vms.erase(vm);
}

const std::map<vm_id, remote_demand::vm_demand> &remote_demand::vms() const
{
    return m_vms;
}

demand_freshness remote_demand::freshness(const vm_demand &demand, steady_time now)
{
    const duration silence = now - demand.receivedAt;
    const duration limit = std::max(smallestSilenceLimit, demand.smoothedInterval * silenceLimitIntervals);
    if (silence <= limit) {
        return demand_freshness::fresh;
    }
    return silence <= limit + staleTime ? demand_freshness::stale : demand_freshness::expired;
}

} // namespace crocuslane
