#include "plugins/routing/prefix_index.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::size_t maximumCopiesPerPrefix = 8;
// After a lost eviction event, an older copy would attract requests to a runner that no longer has the prefix.
constexpr std::chrono::seconds maximumUnconfirmedAge{120};
// An eviction event may arrive this late. It is ignored for a copy confirmed since then, because it may be about an
// earlier copy of the same prefix.
constexpr std::chrono::seconds maximumEventLag{1};

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

void prefix_index::recordSentPrompt(std::size_t runner, const std::vector<std::uint64_t> &prefixHashes, steady_time now)
{
    for (const std::uint64_t hash : prefixHashes) {
        insert(runner, hash, now);
    }
}

void prefix_index::removeRunner(std::size_t runner)
{
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        std::erase_if(position->second.copies, [runner](const cached_copy &copy) { return copy.runner == runner; });
        const auto current = position++;
        if (current->second.copies.empty()) {
            erase(current);
        }
    }
}

std::vector<prefix_index::prefix_match> prefix_index::longestMatches(const std::vector<std::uint64_t> &prefixHashes,
                                                                     std::size_t maximumMatches,
                                                                     steady_time now) const
{
    std::vector<prefix_match> found;
    for (std::size_t blocks = prefixHashes.size(); blocks > 0 && found.size() < maximumMatches; --blocks) {
        const auto position = m_entries.find(prefixHashes[blocks - 1]);
        if (position == m_entries.end()) {
            continue;
        }
        for (const cached_copy &copy : position->second.copies) {
            const bool isListed = std::any_of(
                found.begin(), found.end(), [&copy](const prefix_match &other) { return other.runner == copy.runner; });
            if (!isListed && now - copy.confirmedAt < maximumUnconfirmedAge && found.size() < maximumMatches) {
                found.push_back({copy.runner, blocks});
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
    std::vector<cached_copy> &copies = found->second.copies;
    const auto existing =
        std::find_if(copies.begin(), copies.end(), [runner](const cached_copy &copy) { return copy.runner == runner; });
    if (existing != copies.end()) {
        existing->confirmedAt = now;
        return;
    }
    if (copies.size() >= maximumCopiesPerPrefix) {
        copies.erase(
            std::min_element(copies.begin(), copies.end(), [](const cached_copy &left, const cached_copy &right) {
                return left.confirmedAt < right.confirmedAt;
            }));
    }
    copies.push_back({runner, now});
}

void prefix_index::erase(std::size_t runner, std::uint64_t hash, steady_time now)
{
    const auto found = m_entries.find(hash);
    if (found == m_entries.end()) {
        return;
    }
    std::erase_if(found->second.copies, [runner, now](const cached_copy &copy) {
        return copy.runner == runner && now - copy.confirmedAt > maximumEventLag;
    });
    if (found->second.copies.empty()) {
        erase(found);
    }
}

void prefix_index::erase(std::unordered_map<std::uint64_t, entry>::iterator position)
{
    m_recency.erase(position->second.recency);
    m_entries.erase(position);
}

} // namespace crocuslane
