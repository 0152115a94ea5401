#pragma once

#include "base/clock.h"
#include "kernel/types.h"

#include <list>
#include <unordered_map>
#include <vector>

namespace crocuslane {

/// Estimates which runners have which prompt prefixes in their cache. Cache events arrive late and some are lost, so a
/// prompt that this VM sent counts as cached at once, and a copy that hasn't been confirmed for a while is ignored.
/// When the index is full, the least recently used prefix is removed.
class prefix_index
{
public:
    explicit prefix_index(std::size_t capacity);

    void apply(std::size_t runner, const std::vector<cache_event> &events, steady_time now);
    /// Records that this VM sent a prompt with these prefixes to the runner.
    void recordSentPrompt(std::size_t runner, const std::vector<std::uint64_t> &prefixHashes, steady_time now);
    void removeRunner(std::size_t runner);
    struct prefix_match {
        std::size_t runner = 0;
        /// Number of leading blocks of the prompt that the runner probably has in its cache.
        std::size_t blocks = 0;
    };
    /// Runners that probably have a prefix of the prompt, longest prefix first.
    std::vector<prefix_match>
    longestMatches(const std::vector<std::uint64_t> &prefixHashes, std::size_t maximumMatches, steady_time now) const;

private:
    /// Copy of a prefix in the cache of a runner.
    struct cached_copy {
        std::size_t runner = 0;
        steady_time confirmedAt;
    };
    struct entry {
        std::vector<cached_copy> copies;
        /// Position in m_recency.
        std::list<std::uint64_t>::iterator recency;
    };

    void insert(std::size_t runner, std::uint64_t hash, steady_time now);
    void erase(std::size_t runner, std::uint64_t hash, steady_time now);
    void erase(std::unordered_map<std::uint64_t, entry>::iterator position);

    std::size_t m_capacity;
    std::unordered_map<std::uint64_t, entry> m_entries;
    /// Prefix hashes, most recently used first.
    std::list<std::uint64_t> m_recency;
};

} // namespace crocuslane
