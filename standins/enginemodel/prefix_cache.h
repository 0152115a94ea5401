#pragma once

#include "base/clock.h"
#include "base/text_id.h"
#include "enginemodel/engine_settings.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace crocuslane {

/// A block added to or evicted from the prefix cache, as published by the engine.
struct engine_cache_event {
    std::uint64_t sequence = 0;
    std::uint64_t prefixHash = 0;
    version_id version;
    bool evicted = false;
};

/// Cache of prompt prefixes in blocks, with eviction of the least recently used block. Blocks aren't shared between
/// versions.
class prefix_cache
{
public:
    explicit prefix_cache(const engine_settings &settings);

    /// Returns the number of blocks of the longest cached prefix and marks these blocks as used.
    std::uint32_t findPrefix(const version_id &version, const std::vector<std::uint64_t> &prefixHashes);
    /// Adds blocks or marks them as used; at most as many as the cache can contain.
    void insert(const version_id &version, const std::vector<std::uint64_t> &prefixHashes, steady_time now);
    bool contains(const version_id &version, std::uint64_t prefixHash) const;
    /// Evicts all blocks.
    void clear(steady_time now);
    std::size_t size() const;

    /// Events with sequence number @p from or later that are readable at @p now.
    std::vector<engine_cache_event> events(std::uint64_t from, steady_time now) const;

private:
    struct block {
        std::uint64_t key = 0;
        std::uint64_t prefixHash = 0;
        version_id version;
    };
    struct published_event {
        steady_time readableAt;
        engine_cache_event event;
    };

    static std::uint64_t key(const version_id &version, std::uint64_t prefixHash);
    void evictLeastRecentlyUsed(steady_time now);
    void publishEvent(const block &changed, bool evicted, steady_time now);

    std::uint32_t m_capacity;
    duration m_eventDelay;
    double m_eventLoss;
    std::uint32_t m_eventHistory;
    std::uint64_t m_seed;
    std::uint64_t m_nextSequence = 1;
    /// Most recently used first.
    std::list<block> m_blocks;
    std::unordered_map<std::uint64_t, std::list<block>::iterator> m_index;
    std::deque<published_event> m_events;
};

} // namespace crocuslane
