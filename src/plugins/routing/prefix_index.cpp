#include "plugins/routing/prefix_index.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::size_t residencesPerPrefix = 8;
// The loss of an eviction event would otherwise attract requests to a runner that no longer has the prefix.
constexpr std::chrono::seconds unconfirmedLimit{120};
// An eviction event that is this late may be about an earlier stay of a prefix that was sent again since.
constexpr std::chrono::seconds eventLag{1};

} // namespace

prefix_index::prefix_index(std::size_t capacity)
    : m_capacity(capacity)
{
}

void prefix_index::apply(std::size_t runner, const std::vector<cache_event> &events, steady_time now)
{
    for (const cache_event &event : events) {
        if (event.evicted) {
            erase(runner, event.prefixHash, now);
        } else {
            insert(runner, event.prefixHash, now);
        }
    }
}

void prefix_index::assume(std::size_t runner, const std::vector<std::uint64_t> &prefixHashes, steady_time now)
{
    for (const std::uint64_t hash : prefixHashes) {
        insert(runner, hash, now);
    }
}

void prefix_index::removeRunner(std::size_t runner)
{
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        std::erase_if(position->second.residences, [runner](const residence &stay) { return stay.runner == runner; });
        const auto current = position++;
        if (current->second.residences.empty()) {
            erase(current);
        }
    }
}

std::vector<prefix_index::holder>
prefix_index::holders(const std::vector<std::uint64_t> &prefixHashes, std::size_t limit, steady_time now) const
{
    std::vector<holder> found;
    for (std::size_t blocks = prefixHashes.size(); blocks > 0 && found.size() < limit; --blocks) {
        const auto position = m_entries.find(prefixHashes[blocks - 1]);
        if (position == m_entries.end()) {
            continue;
        }
        for (const residence &stay : position->second.residences) {
            const bool isKnown = std::any_of(
                found.begin(), found.end(), [&stay](const holder &other) { return other.runner == stay.runner; });
            if (!isKnown && now - stay.confirmed < unconfirmedLimit && found.size() < limit) {
                found.push_back({stay.runner, blocks});
            }
        }
    }
    return found;
}

void prefix_index::insert(std::size_t runner, std::uint64_t hash, steady_time now)
{
    const auto found = m_entries.find(hash);
    if (found == m_entries.end()) {
        if (m_entries.size() >= m_capacity) {
            erase(m_entries.find(m_recency.back()));
        }
        m_recency.push_front(hash);
        m_entries.emplace(hash, entry{{{runner, now}}, m_recency.begin()});
        return;
    }
    m_recency.splice(m_recency.begin(), m_recency, found->second.recency);
    std::vector<residence> &residences = found->second.residences;
    const auto known = std::find_if(
        residences.begin(), residences.end(), [runner](const residence &stay) { return stay.runner == runner; });
    if (known != residences.end()) {
        known->confirmed = now;
        return;
    }
    if (residences.size() >= residencesPerPrefix) {
        residences.erase(
            std::min_element(residences.begin(), residences.end(), [](const residence &left, const residence &right) {
                return left.confirmed < right.confirmed;
            }));
    }
    residences.push_back({runner, now});
}

void prefix_index::erase(std::size_t runner, std::uint64_t hash, steady_time now)
{
    const auto found = m_entries.find(hash);
    if (found == m_entries.end()) {
        return;
    }
    std::erase_if(found->second.residences, [runner, now](const residence &stay) {
        return stay.runner == runner && now - stay.confirmed > eventLag;
    });
    if (found->second.residences.empty()) {
        erase(found);
    }
}

void prefix_index::erase(std::unordered_map<std::uint64_t, entry>::iterator position)
{
    m_recency.erase(position->second.recency);
    m_entries.erase(position);
}

} // namespace crocuslane
