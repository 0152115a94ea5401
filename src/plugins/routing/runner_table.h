#pragma once

#include "kernel/action.h"
#include "kernel/event.h"
#include "plugins/routing/runner_state.h"

#include <map>
#include <unordered_map>

namespace crocuslane {

/// The backend servers of the VM list, and the subset of them that this VM uses. The subset follows from a rendezvous
/// hash, so that entry VMs use different subsets and a subset changes little when runners are added or removed.
class runner_table
{
public:
    /// Indexes of the runners of one service and version that this VM uses, in its own region and in others.
    struct subset {
        std::vector<std::size_t> local;
        std::vector<std::size_t> remote;
    };

    explicit runner_table(const node_identity &node);

    /// Returns whether the table changed.
    bool applyList(const std::vector<vm_entry> &entries);
    void applyReport(const runner_load &load, steady_time now);
    void applyUnreachable(const runner_id &runner, steady_time now);
    void setRemoteUse(const vm_id &vm, const std::vector<runner_use> &use, steady_time now);
    void removeRemote(const vm_id &vm);

    const subset &subsetOf(const service_id &service, const version_id &version);
    bool hasRunner(const service_id &service, const version_id &version) const;
    runner_state *find(const runner_id &runner);
    runner_state &at(std::size_t index);
    std::optional<std::size_t> indexOf(const runner_id &runner) const;
    std::vector<runner_use> localUse() const;
    /// The runners to query for load reports, if they changed since the last call.
    std::optional<watch_runners> takeWatchChange(steady_time now);
    /// Indexes of the runners that were removed since the last call.
    std::vector<std::size_t> takeRemoved();
    std::size_t size() const;

private:
    struct service_runners {
        /// Indexes by rank of the rendezvous hash.
        std::map<std::uint64_t, std::size_t> local;
        std::map<std::uint64_t, std::size_t> remote;
        std::size_t watchedLocal = 0;
        std::size_t watchedRemote = 0;
        /// Some version has fewer watched runners than a whole subset.
        bool needsMoreRunners = false;
        std::unordered_map<version_id, subset> subsets;
    };

    void add(const vm_entry &entry);
    void remove(const runner_id &runner);
    std::uint64_t rankOf(const runner_id &runner) const;
    /// Clears the cached subsets and reports a change of the watched runners.
    void invalidateSubsets(const service_id &service);
    /// Adds watched runners when a version needs more. Returns whether it did.
    static bool growWatchedSet(service_runners &service);

    std::string m_ownId;
    std::string m_ownRegion;
    std::vector<std::optional<runner_state>> m_runners;
    std::vector<std::size_t> m_freeIndexes;
    std::vector<std::size_t> m_removedIndexes;
    std::unordered_map<runner_id, std::size_t> m_indexes;
    std::map<service_id, service_runners> m_services;
    /// Runners in the last report of each peer, so that the next report can replace it.
    std::map<vm_id, std::set<runner_id>> m_runnersByPeer;
    bool m_isWatchChanged = false;
    steady_time m_lastGrowthAt;
};

} // namespace crocuslane
