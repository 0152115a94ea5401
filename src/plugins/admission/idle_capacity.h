#pragma once

#include "kernel/types.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace crocuslane {

/// Idle slots of the backend servers per service, from load reports, and the excess requests that this VM has admitted
/// since.
class idle_capacity
{
public:
    void setBackendServers(const std::vector<vm_entry> &entries);
    void noteLoad(const runner_load &load, steady_time now);
    void noteUnreachable(const runner_id &runner);

    /// Number of excess requests that one of @p vmCount entry VMs may admit now; nothing without fresh reports.
    std::optional<double> available(const service_id &service, std::size_t vmCount, steady_time now) const;
    /// Notes that an excess request was admitted.
    void noteAdmitted(const service_id &service, const caller_group_id &group, steady_time now);
    /// Excess requests that are too recent to appear in the load reports: of all groups, and of one group.
    std::size_t recentAdmissions(const service_id &service, steady_time now);
    std::size_t recentAdmissionsOf(const service_id &service, const caller_group_id &group) const;
    /// Number of groups that the recent excess requests belong to.
    std::size_t recentGroupCount(const service_id &service) const;

private:
    struct report {
        std::uint32_t slots = 0;
        std::uint32_t idleSlots = 0;
        steady_time takenAt;
    };

    struct admitted_request {
        steady_time at;
        caller_group_id group;
    };

    struct service_state {
        std::size_t runnerCount = 0;
        std::unordered_map<runner_id, report> reports;
        std::deque<admitted_request> recentAdmissions;
        std::unordered_map<caller_group_id, std::size_t> recentByGroup;
    };

    std::unordered_map<runner_id, service_id> m_serviceByRunner;
    std::map<service_id, service_state> m_services;
};

} // namespace crocuslane
