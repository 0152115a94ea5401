#include "plugins/admission/remote_demand.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr duration shortestSilence = std::chrono::milliseconds(2500);
constexpr int silentIntervals = 4;
// Two VMs notice that they don't hear each other at times that differ by up to this. The one that would gain waits
// for it, the one that loses does not, so that both together stay within the limit.
constexpr duration doubtTime = std::chrono::milliseconds(1500);
constexpr int smoothing = 4;

} // namespace

void remote_demand::set(const vm_id &vm, const std::vector<group_demand> &demand, steady_time now)
{
    const auto [found, isNew] = m_vms.try_emplace(vm);
    vm_demand &known = found->second;
    if (!isNew) {
        const duration interval = std::min(now - known.heardAt, shortestSilence);
        known.interval += (interval - known.interval) / smoothing;
    }
    known.heardAt = now;
    for (auto &[group, last] : known.groups) {
        last.arrivalRate = 0.0;
        last.tokensInFlight = 0;
    }
    for (const group_demand &each : demand) {
        known.groups[each.group] = each;
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

demand_standing remote_demand::standing(const vm_demand &demand, steady_time now)
{
    const duration silence = now - demand.heardAt;
    const duration limit = std::max(shortestSilence, demand.interval * silentIntervals);
    if (silence <= limit) {
        return demand_standing::heard;
    }
    return silence <= limit + doubtTime ? demand_standing::doubtful : demand_standing::lost;
}

} // namespace crocuslane
