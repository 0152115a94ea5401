#pragma once

#include "base/clock.h"
#include "kernel/peer_message.h"

#include <map>
#include <unordered_map>

namespace crocuslane {

/// Reliability of the demand last received from another VM, by its age.
enum class demand_freshness {
    fresh,
    /// No recent message, but the VM may still use its last share.
    stale,
    /// No message for so long that the VM has fallen back to its even share.
    expired,
};

/// Demand of each caller group at the other entry VMs, as last received.
class remote_demand
{
public:
    struct vm_demand {
        steady_time receivedAt;
        /// Smoothed time between two messages of this VM.
        duration smoothedInterval{};
        std::unordered_map<caller_group_id, group_demand> groups;
    };

    /// Groups missing from @p demand are idle; their counters are kept.
    void set(const vm_id &vm, const std::vector<group_demand> &demand, steady_time now);
    void remove(const vm_id &vm);
    const std::map<vm_id, vm_demand> &vms() const;
    static demand_freshness freshness(const vm_demand &demand, steady_time now);

private:
    std::map<vm_id, vm_demand> m_vms;
};

} // namespace crocuslane
