#pragma once

#include "base/clock.h"
#include "kernel/peer_message.h"

#include <map>
#include <unordered_map>

namespace crocuslane {

/// How much a VM's last word on its demand can be relied on.
enum class demand_standing {
    heard,
    /// Silent, but it may still use the share that it had.
    doubtful,
    /// Silent for so long that it has fallen back to its even share.
    lost,
};

/// Demand at the other entry VMs, as last heard.
class remote_demand
{
public:
    struct vm_demand {
        steady_time heardAt;
        /// Smoothed time between two words of this VM.
        duration interval{};
        std::unordered_map<caller_group_id, group_demand> groups;
    };

    /// Groups that @p demand leaves out are idle; their counts are kept.
    void set(const vm_id &vm, const std::vector<group_demand> &demand, steady_time now);
    void remove(const vm_id &vm);
    const std::map<vm_id, vm_demand> &vms() const;
    static demand_standing standing(const vm_demand &demand, steady_time now);

private:
    std::map<vm_id, vm_demand> m_vms;
};

} // namespace crocuslane
