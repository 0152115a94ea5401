#include "enginemodel/prefix_cache.h"

#include "enginemodel/answer_text.h"

#include <algorithm>

namespace crocuslane {

prefix_cache::prefix_cache(const engine_settings &settings)
    : m_capacity(settings.cacheBlocks)
    , m_eventDelay(settings.cacheEventDelay)
    , m_eventLoss(settings.cacheEventLoss)
    , m_eventHistory(settings.cacheEventHistory)
    , m_seed(settings.seed)
{
}

std::uint64_t prefix_cache::key(const version_id &version, std::uint64_t prefixHash)
{
    return prefixHash ^ hashText(version.value());
}

std::uint32_t prefix_cache::findPrefix(const version_id &version, const std::vector<std::uint64_t> &prefixHashes)
{
    std::uint32_t found = 0;
    while (found < prefixHashes.size() && m_index.contains(key(version, prefixHashes[found]))) {
        ++found;
    }
    // The last block is marked as used first, so that it is evicted before the shorter prefixes that it depends on.
    for (std::uint32_t remaining = found; remaining > 0; --remaining) {
        const auto position = m_index.find(key(version, prefixHashes[remaining - 1]));
        m_blocks.splice(m_blocks.begin(), m_blocks, position->second);
    }
    return found;
}

void prefix_cache::insert(const version_id &version, const std::vector<std::uint64_t> &prefixHashes, steady_time now)
{
    const std::size_t count = std::min<std::size_t>(prefixHashes.size(), m_capacity);
    for (std::size_t remaining = count; remaining > 0; --remaining) {
        const std::uint64_t prefixHash = prefixHashes[remaining - 1];
        const std::uint64_t blockKey = key(version, prefixHash);
        const auto position = m_index.find(blockKey);
        if (position != m_index.end()) {
            m_blocks.splice(m_blocks.begin(), m_blocks, position->second);
            continue;
        }
        while (m_blocks.size() >= m_capacity) {
            evictLeastRecentlyUsed(now);
        }
        m_blocks.push_front(block{blockKey, prefixHash, version});
        m_index[blockKey] = m_blocks.begin();
        publishEvent(m_blocks.front(), false, now);
    }
}

bool prefix_cache::contains(const version_id &version, std::uint64_t prefixHash) const
{
    return m_index.contains(key(version, prefixHash));
}

void prefix_cache::clear(steady_time now)
{
    while (!m_blocks.empty()) {
        evictLeastRecentlyUsed(now);
    }
}

std::size_t prefix_cache::size() const
{
    return m_blocks.size();
}

std::vector<engine_cache_event> prefix_cache::events(std::uint64_t from, steady_time now) const
{
    std::vector<engine_cache_event> readable;
    const auto first = std::lower_bound(
        m_events.begin(), m_events.end(), from, [](const published_event &candidate, std::uint64_t sequence) {
            return candidate.event.sequence < sequence;
        });
    for (auto position = first; position != m_events.end() && position->readableAt <= now; ++position) {
        readable.push_back(position->event);
    }
    return readable;
}

void prefix_cache::evictLeastRecentlyUsed(steady_time now)
{
    publishEvent(m_blocks.back(), true, now);
    m_index.erase(m_blocks.back().key);
    m_blocks.pop_back();
}

void prefix_cache::publishEvent(const block &changed, bool evicted, steady_time now)
{
    const std::uint64_t sequence = m_nextSequence++;
    if (m_eventHistory == 0 || uniformFromHash(m_seed, sequence) < m_eventLoss) {
        return;
    }
    m_events.push_back({now + m_eventDelay, {sequence, changed.prefixHash, changed.version, evicted}});
    if (m_events.size() > m_eventHistory) {
        m_events.pop_front();
    }
}

} // namespace crocuslane
