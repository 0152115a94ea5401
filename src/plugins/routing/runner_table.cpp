#include "plugins/routing/runner_table.h"

#include <algorithm>
#include <unordered_set>

#include <xxhash.h>

namespace crocuslane {

namespace {

constexpr std::size_t subsetSize = 16;
constexpr std::size_t maximumWatchedLocal = 128;
constexpr std::size_t maximumWatchedRemote = 16;
constexpr std::chrono::seconds growthInterval{1};
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
    std::unordered_set<std::string_view> present;
    for (const vm_entry &entry : entries) {
        if (entry.role == vm_role::entry) {
            continue;
        }
        present.insert(entry.id);
        runner_state *known = find(runner_id(entry.id));
        if (known && (known->address != entry.address || known->service != entry.service)) {
            remove(known->id);
            known = nullptr;
        }
        if (!known) {
            add(entry);
            isChanged = true;
            continue;
        }
        const bool isLeaving = entry.state == backend_state::leaving;
        if (known->isLeavingByList != isLeaving) {
            known->isLeavingByList = isLeaving;
            invalidate(known->service);
            isChanged = true;
        }
    }
    std::vector<runner_id> gone;
    for (const auto &[runner, index] : m_indexes) {
        if (!present.contains(runner.value())) {
            gone.push_back(runner);
        }
    }
    for (const runner_id &runner : gone) {
        remove(runner);
        isChanged = true;
    }
    return isChanged;
}

void runner_table::add(const vm_entry &entry)
{
    std::size_t index = m_runners.size();
    if (m_free.empty()) {
        m_runners.emplace_back();
    } else {
        index = m_free.back();
        m_free.pop_back();
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
    invalidate(entry.service);
}

void runner_table::remove(const runner_id &runner)
{
    const auto found = m_indexes.find(runner);
    const std::size_t index = found->second;
    const runner_state &state = *m_runners[index];
    service_runners &service = m_services[state.service];
    (state.isLocalRegion ? service.local : service.remote).erase(state.rank);
    invalidate(state.service);
    m_indexes.erase(found);
    m_runners[index].reset();
    m_free.push_back(index);
    m_removed.push_back(index);
}

void runner_table::invalidate(const service_id &service)
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
        m_namedByPeer[vm].insert(entry.runner);
        state->remoteUse[vm] = {entry.inFlight, now};
        if (entry.isLeaving) {
            state->leavingByPeers.insert(vm);
            m_services[state->service].subsets.clear();
        }
    }
}

void runner_table::removeRemote(const vm_id &vm)
{
    const auto named = m_namedByPeer.find(vm);
    if (named == m_namedByPeer.end()) {
        return;
    }
    for (const runner_id &runner : named->second) {
        runner_state *state = find(runner);
        if (!state) {
            continue;
        }
        state->remoteUse.erase(vm);
        if (state->leavingByPeers.erase(vm) > 0) {
            m_services[state->service].subsets.clear();
        }
    }
    m_namedByPeer.erase(named);
}

const runner_table::subset &runner_table::subsetOf(const service_id &service, const version_id &version)
{
    service_runners &runners = m_services[service];
    const auto known = runners.subsets.find(version);
    if (known != runners.subsets.end()) {
        return known->second;
    }
    const auto collect = [this, &version](const std::map<std::uint64_t, std::size_t> &ranked, std::size_t watched) {
        std::vector<std::size_t> chosen;
        for (const auto &[rank, index] : ranked) {
            if (watched == 0 || chosen.size() >= subsetSize) {
                break;
            }
            --watched;
            const runner_state &state = *m_runners[index];
            if (!state.isLeaving() && state.holds(version)) {
                chosen.push_back(index);
            }
        }
        return chosen;
    };
    subset found{collect(runners.local, runners.watchedLocal), collect(runners.remote, runners.watchedRemote)};
    if (found.local.size() < subsetSize) {
        runners.needsMore = true;
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
            std::size_t left = ranked == &runners.local ? runners.watchedLocal : runners.watchedRemote;
            for (auto entry = ranked->begin(); entry != ranked->end() && left > 0; ++entry, --left) {
                const runner_state &state = *m_runners[entry->second];
                // The mark of a peer is not passed on: two VMs would keep each other's mark alive for ever.
                if (state.ownInFlight > 0 || state.isLeavingByOwnSources()) {
                    uses.push_back({state.id, state.ownInFlight, state.isLeavingByOwnSources()});
                }
            }
        }
    }
    return uses;
}

bool runner_table::grow(service_runners &service)
{
    if (!service.needsMore || service.watchedLocal >= maximumWatchedLocal
        || service.watchedLocal >= service.local.size()) {
        return false;
    }
    service.watchedLocal += subsetSize;
    service.needsMore = false;
    service.subsets.clear();
    return true;
}

std::optional<watch_runners> runner_table::takeWatchChange(steady_time now)
{
    if (now - m_lastGrowth >= growthInterval) {
        m_lastGrowth = now;
        for (auto &[id, service] : m_services) {
            m_isWatchChanged = grow(service) || m_isWatchChanged;
        }
    }
    if (!m_isWatchChanged) {
        return std::nullopt;
    }
    m_isWatchChanged = false;
    watch_runners watch;
    for (const auto &[id, service] : m_services) {
        for (const auto *ranked : {&service.local, &service.remote}) {
            std::size_t left = ranked == &service.local ? service.watchedLocal : service.watchedRemote;
            for (auto entry = ranked->begin(); entry != ranked->end() && left > 0; ++entry, --left) {
                const runner_state &state = *m_runners[entry->second];
                watch.runners.push_back({state.id, state.address});
            }
        }
    }
    return watch;
}

std::vector<std::size_t> runner_table::takeRemoved()
{
    return std::exchange(m_removed, {});
}

std::size_t runner_table::size() const
{
    return m_indexes.size();
}

} // namespace crocuslane
