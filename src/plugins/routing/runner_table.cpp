#include "plugins/routing/runner_table.h"

#include <algorithm>
#include <unordered_set>

#include <xxhash.h>

namespace crocuslane {

namespace {

constexpr std::size_t subsetSize = 16;
// Bounds the load queries of a VM, however many runners there are.
constexpr std::size_t maximumWatchedLocal = 128;
constexpr std::size_t maximumWatchedRemote = 16;
constexpr std::chrono::seconds minimumGrowthInterval{1};
constexpr std::chrono::seconds unreachableSuspension{1};

} // namespace

runner_table::runner_table(const node_identity &node)
    : m_ownId(node.id.value())
    , m_ownRegion(node.region)
{
}

std::uint64_t runner_table::rankOf(const runner_id &runner) const
{
    return XXH3_64bits_withSeed(
        runner.value().data(), runner.value().size(), XXH3_64bits(m_ownId.data(), m_ownId.size()));
}

bool runner_table::applyList(const std::vector<vm_entry> &entries)
{
    bool isChanged = false;
    std::unordered_set<std::string_view> listedIds;
    for (const vm_entry &entry : entries) {
        if (entry.role == vm_role::entry) {
            continue;
        }
        listedIds.insert(entry.id);
        runner_state *existing = find(runner_id(entry.id));
        if (existing && (existing->address != entry.address || existing->service != entry.service)) {
            remove(existing->id);
            existing = nullptr;
        }
        if (!existing) {
            add(entry);
            isChanged = true;
            continue;
        }
        const bool isLeaving = entry.state == backend_state::leaving;
        if (existing->isLeavingByList != isLeaving) {
            existing->isLeavingByList = isLeaving;
            invalidateSubsets(existing->service);
            isChanged = true;
        }
    }
    std::vector<runner_id> missing;
    for (const auto &[runner, index] : m_indexes) {
        if (!listedIds.contains(runner.value())) {
            missing.push_back(runner);
        }
    }
    for (const runner_id &runner : missing) {
        remove(runner);
        isChanged = true;
    }
    return isChanged;
}

void runner_table::add(const vm_entry &entry)
{
    std::size_t index = m_runners.size();
    if (m_freeIndexes.empty()) {
        m_runners.emplace_back();
    } else {
        index = m_freeIndexes.back();
        m_freeIndexes.pop_back();
    }
    runner_state state;
    state.id = runner_id(entry.id);
    state.service = entry.service;
    state.address = entry.address;
    state.isLocalRegion = entry.region == m_ownRegion;
    state.isLeavingByList = entry.state == backend_state::leaving;
    service_runners &service = m_services[entry.service];
    auto &ranked = state.isLocalRegion ? service.local : service.remote;
    state.rank = rankOf(state.id);
    while (!ranked.emplace(state.rank, index).second) {
        ++state.rank;
    }
    m_indexes.emplace(state.id, index);
    m_runners[index] = std::move(state);
    service.watchedLocal = std::max(service.watchedLocal, subsetSize);
    service.watchedRemote = std::max(service.watchedRemote, maximumWatchedRemote);
    invalidateSubsets(entry.service);
}

void runner_table::remove(const runner_id &runner)
{
    const auto found = m_indexes.find(runner);
    const std::size_t index = found->second;
    const runner_state &state = *m_runners[index];
    service_runners &service = m_services[state.service];
    (state.isLocalRegion ? service.local : service.remote).erase(state.rank);
    invalidateSubsets(state.service);
    m_indexes.erase(found);
    m_runners[index].reset();
    m_freeIndexes.push_back(index);
    m_removedIndexes.push_back(index);
}

void runner_table::invalidateSubsets(const service_id &service)
{
    m_services[service].subsets.clear();
    m_isWatchChanged = true;
}

void runner_table::applyReport(const runner_load &load, steady_time now)
{
    runner_state *state = find(load.runner);
    if (!state) {
        return;
    }
    const bool wasLeaving = state->isLeaving();
    state->applyReport(load, now);
    std::set<version_id> versions(load.versions.begin(), load.versions.end());
    if (versions != state->versions || wasLeaving != state->isLeaving()) {
        state->versions = std::move(versions);
        m_services[state->service].subsets.clear();
    }
}

void runner_table::applyUnreachable(const runner_id &runner, steady_time now)
{
    if (runner_state *state = find(runner)) {
        state->suspendedUntil = std::max(state->suspendedUntil, now + unreachableSuspension);
    }
}

void runner_table::setRemoteUse(const vm_id &vm, const std::vector<runner_use> &use, steady_time now)
{
    removeRemote(vm);
    for (const runner_use &entry : use) {
        runner_state *state = find(entry.runner);
        if (!state) {
            continue;
        }
        m_runnersByPeer[vm].insert(entry.runner);
        state->remoteUse[vm] = {entry.inFlight, now};
        if (entry.isLeaving) {
            state->leavingReportedBy.insert(vm);
            m_services[state->service].subsets.clear();
        }
    }
}

void runner_table::removeRemote(const vm_id &vm)
{
    const auto reported = m_runnersByPeer.find(vm);
    if (reported == m_runnersByPeer.end()) {
        return;
    }
    for (const runner_id &runner : reported->second) {
        runner_state *state = find(runner);
        if (!state) {
            continue;
        }
        state->remoteUse.erase(vm);
        if (state->leavingReportedBy.erase(vm) > 0) {
            m_services[state->service].subsets.clear();
        }
    }
    m_runnersByPeer.erase(reported);
}

const runner_table::subset &runner_table::subsetOf(const service_id &service, const version_id &version)
{
    service_runners &runners = m_services[service];
    const auto existing = runners.subsets.find(version);
    if (existing != runners.subsets.end()) {
        return existing->second;
    }
    const auto collect = [this, &version](const std::map<std::uint64_t, std::size_t> &ranked, std::size_t watched) {
        std::vector<std::size_t> chosen;
        for (const auto &[rank, index] : ranked) {
            if (watched == 0 || chosen.size() >= subsetSize) {
                break;
            }
            --watched;
            const runner_state &state = *m_runners[index];
            if (!state.isLeaving() && state.hasVersion(version)) {
                chosen.push_back(index);
            }
        }
        return chosen;
    };
    subset found{collect(runners.local, runners.watchedLocal), collect(runners.remote, runners.watchedRemote)};
    if (found.local.size() < subsetSize) {
        runners.needsMoreRunners = true;
    }
    return runners.subsets.emplace(version, std::move(found)).first->second;
}

bool runner_table::hasRunner(const service_id &service, const version_id &version) const
{
    const subset &found = const_cast<runner_table *>(this)->subsetOf(service, version);
    return !found.local.empty() || !found.remote.empty();
}

runner_state *runner_table::find(const runner_id &runner)
{
    const auto found = m_indexes.find(runner);
    return found == m_indexes.end() ? nullptr : &*m_runners[found->second];
}

runner_state &runner_table::at(std::size_t index)
{
    return *m_runners[index];
}

std::optional<std::size_t> runner_table::indexOf(const runner_id &runner) const
{
    const auto found = m_indexes.find(runner);
    return found == m_indexes.end() ? std::nullopt : std::optional(found->second);
}

std::vector<runner_use> runner_table::localUse() const
{
    std::vector<runner_use> uses;
    for (const auto &[service, runners] : m_services) {
        for (const auto *ranked : {&runners.local, &runners.remote}) {
            std::size_t remaining = ranked == &runners.local ? runners.watchedLocal : runners.watchedRemote;
            for (auto entry = ranked->begin(); entry != ranked->end() && remaining > 0; ++entry, --remaining) {
                const runner_state &state = *m_runners[entry->second];
                // What a peer reported as leaving isn't sent on: two VMs would refresh each other's report forever.
                if (state.ownInFlight > 0 || state.isLeavingByOwnSources()) {
                    uses.push_back({state.id, state.ownInFlight, state.isLeavingByOwnSources()});
                }
            }
        }
    }
    return uses;
}

bool runner_table::growWatchedSet(service_runners &service)
{
    if (!service.needsMoreRunners || service.watchedLocal >= maximumWatchedLocal
        || service.watchedLocal >= service.local.size()) {
        return false;
    }
    service.watchedLocal += subsetSize;
    service.needsMoreRunners = false;
    service.subsets.clear();
    return true;
}

std::optional<watch_runners> runner_table::takeWatchChange(steady_time now)
{
    if (now - m_lastGrowthAt >= minimumGrowthInterval) {
        m_lastGrowthAt = now;
        for (auto &[id, service] : m_services) {
            m_isWatchChanged = growWatchedSet(service) || m_isWatchChanged;
        }
    }
    if (!m_isWatchChanged) {
        return std::nullopt;
    }
    m_isWatchChanged = false;
    watch_runners watch;
    for (const auto &[id, service] : m_services) {
        for (const auto *ranked : {&service.local, &service.remote}) {
            std::size_t remaining = ranked == &service.local ? service.watchedLocal : service.watchedRemote;
            for (auto entry = ranked->begin(); entry != ranked->end() && remaining > 0; ++entry, --remaining) {
                const runner_state &state = *m_runners[entry->second];
                watch.runners.push_back({state.id, state.address});
            }
        }
    }
    return watch;
}

std::vector<std::size_t> runner_table::takeRemoved()
{
    return std::exchange(m_removedIndexes, {});
}

std::size_t runner_table::size() const
{
    return m_indexes.size();
}

} // namespace crocuslane
