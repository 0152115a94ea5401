#pragma once

#include "kernel/action.h"
#include "kernel/event.h"
#include "plugins/routing/runner_state.h"

#include <map>
#include <unordered_map>

namespace crocuslane {

/// The backend servers of the VM list, and the subset of them that this VM uses. The subset is fixed by rendezvous
/// hash, so that each VM has its own and few change when runners come and go.
class runner_table
{
public:
    /// Runners of one service and version that this VM uses.
    struct subset {
        std::vector<std::size_t> local;
        std::vector<std::size_t> remote;
    };

    explicit runner_table(const node_identity &node);

    /// True when something changed.
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
    /// The watched set when it changed since the last call.
    std::optional<watch_runners> takeWatchChange(steady_time now);
    /// Runners that disappeared since the last call.
    std::vector<std::size_t> takeRemoved();
    std::size_t size() const;

private:
    struct service_runners {
        /// By rank of the rendezvous hash.
        std::map<std::uint64_t, std::size_t> local;
        std::map<std::uint64_t, std::size_t> remote;
        std::size_t watchedLocal = 0;
        std::size_t watchedRemote = 0;
        /// A version has fewer watched runners than the subset should have.
        bool needsMore = false;
        std::unordered_map<version_id, subset> subsets;
    };

    void add(const vm_entry &entry);
    void remove(const runner_id &runner);
    std::uint64_t rankOf(const runner_id &runner) const;
    void invalidate(const service_id &service);
    static bool grow(service_runners &service);

    std::string m_ownId;
    std::string m_ownRegion;
    std::vector<std::optional<runner_state>> m_runners;
    std::vector<std::size_t> m_free;
    std::vector<std::size_t> m_removed;
    std::unordered_map<runner_id, std::size_t> m_indexes;
    std::map<service_id, service_runners> m_services;
    /// Runners that a peer named, per peer, so that its marks and use can be replaced.
    std::map<vm_id, std::set<runner_id>> m_namedByPeer;
    bool m_isWatchChanged = false;
    steady_time m_lastGrowth;
};

} // namespace crocuslane
