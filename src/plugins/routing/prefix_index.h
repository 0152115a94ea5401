#pragma once

#include "base/clock.h"
#include "kernel/types.h"

#include <list>
#include <unordered_map>
#include <vector>

namespace crocuslane {

/// Which runner probably has which prompt prefix in its cache. Cache events are late and have gaps, so what this VM
/// sent itself counts as cached at once, and entries that nothing confirms for a while are dropped.
class prefix_index
{
public:
    explicit prefix_index(std::size_t capacity);

    void apply(std::size_t runner, const std::vector<cache_event> &events, steady_time now);
    /// This VM sent a prompt with these prefixes to the runner.
    void assume(std::size_t runner, const std::vector<std::uint64_t> &prefixHashes, steady_time now);
    void removeRunner(std::size_t runner);
    /// Number of leading blocks of the prompt that the runner probably has.
    struct holder {
        std::size_t runner = 0;
        std::size_t blocks = 0;
    };
    /// Runners with the longest known prefixes first, at most @p limit.
    std::vector<holder>
    holders(const std::vector<std::uint64_t> &prefixHashes, std::size_t limit, steady_time now) const;

private:
    struct residence {
        std::size_t runner = 0;
        steady_time confirmed;
    };
    struct entry {
        std::vector<residence> residences;
        std::list<std::uint64_t>::iterator recency;
    };

    void insert(std::size_t runner, std::uint64_t hash, steady_time now);
    void erase(std::size_t runner, std::uint64_t hash, steady_time now);
    void erase(std::unordered_map<std::uint64_t, entry>::iterator position);

    std::size_t m_capacity;
    std::unordered_map<std::uint64_t, entry> m_entries;
    /// Most recently used first.
    std::list<std::uint64_t> m_recency;
};

} // namespace crocuslane
