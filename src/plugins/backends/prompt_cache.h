#pragma once

#include "base/clock.h"
#include "kernel/forward_types.h"

#include <list>
#include <unordered_map>

namespace crocuslane {

/// Estimate of the prompt parts that one runner keeps, from the requests that were sent to it.
class prompt_cache
{
public:
    /// Tokens at the front of @p prompt that the runner need not read.
    std::uint32_t cachedTokens(const std::vector<prompt_part> &prompt, steady_time now) const;
    /// The runner reads @p prompt. Parts beyond @p memoryTokens, oldest first, are taken as dropped.
    void note(const std::vector<prompt_part> &prompt, std::uint64_t memoryTokens, steady_time now);
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
