#pragma once

#include "base/clock.h"
#include "kernel/forward_types.h"

#include <list>
#include <unordered_map>

namespace crocuslane {

/// Estimates which prompt parts one runner has cached, from the requests that this VM sent to it.
class prompt_cache
{
public:
    /// Number of tokens at the front of @p prompt that the runner has cached and need not prefill.
    std::uint32_t cachedTokens(const std::vector<prompt_part> &prompt, steady_time now) const;
    /// Records that the runner prefills @p prompt. Once the parts exceed @p memoryTokens, the least recently used ones
    /// are assumed to be evicted.
    void add(const std::vector<prompt_part> &prompt, std::uint64_t memoryTokens, steady_time now);
    void clear();

private:
    struct entry {
        std::uint64_t id = 0;
        std::uint32_t tokens = 0;
        steady_time usedAt;
    };
    using entry_list = std::list<entry>;

    /// Most recently used first.
    entry_list m_entries;
    std::unordered_map<std::uint64_t, entry_list::iterator> m_byId;
    std::uint64_t m_tokens = 0;
};

} // namespace crocuslane
