#include "plugins/rollouts/evidence_exchange.h"

#include <algorithm>

namespace crocuslane {

namespace {

// Keeps a message below the size limit of a frame; the remaining entries follow in the next rounds.
constexpr std::size_t maximumEntriesPerMessage = 200;
constexpr std::size_t maximumEntries = 10'000;
// Positions in the log stay below two to this power.
constexpr unsigned positionBits = 40;

} // namespace

std::uint64_t evidenceOrder(const rollout_order &order)
{
    return (order.epoch << positionBits) + order.position;
}

// A VM that was restarted counts from zero again; what it counted before still holds.
evidence_exchange::key evidence_exchange::keyOf(const version_evidence &entry)
{
    return {entry.service, entry.vm, entry.incarnation};
}

evidence_exchange::entry_version evidence_exchange::versionOf(const version_evidence &entry)
{
    return {entry.orderPosition, entry.counter};
}

bool evidence_exchange::store(const version_evidence &entry)
{
    const key id = keyOf(entry);
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return m_entries.size() < maximumEntries && m_entries.emplace(id, entry).second;
    }
    if (!(versionOf(found->second) < versionOf(entry))) {
        return false;
    }
    found->second = entry;
    return true;
}

std::vector<version_evidence> evidence_exchange::receive(const vm_id &peer, const version_evidence_list &list)
{
    std::vector<version_evidence> added;
    for (const version_evidence &received : list.entries) {
        const version_evidence entry = continued(received);
        if (store(entry)) {
            added.push_back(entry);
        }
        const key id = keyOf(entry);
        if (m_entries.contains(id)) {
            entry_version &known = m_versionsByPeer[peer][id];
            known = std::max(known, versionOf(entry));
        }
    }
    return added;
}

void evidence_exchange::connected(const vm_id &peer)
{
    m_versionsByPeer.erase(peer);
}

void evidence_exchange::runRound(const std::vector<vm_id> &peers, action_list &actions)
{
    std::erase_if(m_versionsByPeer, [&peers](const auto &each) {
        return std::find(peers.begin(), peers.end(), each.first) == peers.end();
    });
    for (const vm_id &peer : peers) {
        version_evidence_list list;
        auto &known = m_versionsByPeer[peer];
        for (const auto &[id, entry] : m_entries) {
            const bool isNewer = known[id] < versionOf(entry);
            if (!isNewer || id.vm == peer || list.entries.size() == maximumEntriesPerMessage) {
                continue;
            }
            known[id] = versionOf(entry);
            list.entries.push_back(entry);
        }
        if (!list.entries.empty()) {
            actions.push_back(send_to_peer{peer, std::move(list)});
        }
    }
}

std::vector<version_evidence> evidence_exchange::entriesOf(const service_id &service, std::uint64_t order) const
{
    std::vector<version_evidence> entries;
    for (const auto &[id, entry] : m_entries) {
        if (id.service == service && entry.orderPosition == order) {
            entries.push_back(entry);
        }
    }
    return entries;
}

void evidence_exchange::removeBefore(const service_id &service, std::uint64_t order)
{
    std::erase_if(m_entries,
                  [&](const auto &each) { return each.first.service == service && each.second.orderPosition < order; });
    std::erase_if(m_continued, [&](const auto &each) { return each.first.first == service && each.second < order; });
}

void evidence_exchange::continueOrder(const service_id &service, std::uint64_t from, std::uint64_t to)
{
    for (auto &[earlier, later] : m_continued) {
        if (earlier.first == service && later == from) {
            later = to;
        }
    }
    m_continued[{service, from}] = to;
    for (auto &[id, entry] : m_entries) {
        entry = continued(std::move(entry));
    }
}

// A VM that has not yet read the order in the new epoch goes on to count for its earlier position.
version_evidence evidence_exchange::continued(version_evidence entry) const
{
    const auto found = m_continued.find({entry.service, entry.orderPosition});
    entry.orderPosition = found == m_continued.end() ? entry.orderPosition : found->second;
    return entry;
}

} // namespace crocuslane
