#pragma once

#include "kernel/peer_message.h"
#include "plugins/backends/backend_table.h"

#include <map>
#include <vector>

namespace crocuslane {

/// Stores in a backend_table the requests that other VMs last reported to have in progress, and estimates how old these
/// counts are.
class remote_use
{
public:
    explicit remote_use(backend_table &table);
    void set(const vm_id &vm, const std::vector<runner_use> &use, steady_time now);
    void remove(const vm_id &vm);
    /// Mean age of the counts of all other VMs: the time since each arrived, and half of its usual interval for its way
    /// here. Zero when there are none.
    duration age(steady_time now) const;

private:
    struct reporting_vm {
        steady_time receivedAt;
        duration interval{};
    };

    void removeCounts(const vm_id &vm);
    void updateHistories(steady_time now);

    backend_table &m_table;
    std::map<vm_id, reporting_vm> m_vms;
    steady_time m_nextHistory;
};

} // namespace crocuslane
