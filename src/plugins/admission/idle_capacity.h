#pragma once

#include "kernel/types.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace crocuslane {

/// Slots of backend servers that reports show as idle, less what this VM has let in since, per service.
class idle_capacity
{
public:
    void setBackendServers(const std::vector<vm_entry> &entries);
    void noteLoad(const runner_load &load, steady_time now);
    void noteUnreachable(const runner_id &runner);

    /// Requests beyond their limits that one of @p vmCount entry VMs may let in now; nothing without fresh reports.
    std::optional<double> available(const service_id &service, std::size_t vmCount, steady_time now) const;
    /// One of them was let in.
    void take(const service_id &service, const caller_group_id &group, steady_time now);
    /// Requests let in so lately that reports don't show them yet: of all groups, and of one.
    std::size_t recent(const service_id &service, steady_time now);
    std::size_t recentOf(const service_id &service, const caller_group_id &group) const;
    /// Groups among the recent ones.
    std::size_t recentGroups(const service_id &service) const;

private:
    struct report {
        std::uint32_t slots = 0;
        std::uint32_t idle = 0;
        steady_time takenAt;
    };

    struct taken {
        steady_time at;
        caller_group_id group;
    };

    struct service_state {
        std::size_t runnerCount = 0;
        std::unordered_map<runner_id, report> reports;
        std::deque<taken> recent;
        std::unordered_map<caller_group_id, std::size_t> recentByGroup;
    };

    std::unordered_map<runner_id, service_id> m_serviceOf;
    std::map<service_id, service_state> m_services;
};

} // namespace crocuslane
