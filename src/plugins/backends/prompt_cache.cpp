#include "plugins/backends/prompt_cache.h"

namespace crocuslane {

namespace {

// Runs in progress and parts that other VMs sent take memory too, so that an old part has probably been dropped.
constexpr std::chrono::seconds longestKept{60};
constexpr std::size_t mostEntries = 4096;

} // namespace

std::uint32_t prompt_cache::cachedTokens(const std::vector<prompt_part> &prompt, steady_time now) const
{
    std::uint32_t cached = 0;
    for (const prompt_part &part : prompt) {
        const auto found = m_byId.find(part.id);
        // A runner can use a part only when it keeps all parts before it.
        if (found == m_byId.end() || now - found->second->usedAt > longestKept) {
            break;
        }
        cached += part.tokens;
    }
    return cached;
}

void prompt_cache::note(const std::vector<prompt_part> &prompt, std::uint64_t memoryTokens, steady_time now)
{
    // Back to front, so that the parts at the front of a prompt are dropped last.
    for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
        const auto found = m_byId.find(part->id);
        if (found != m_byId.end()) {
            found->second->usedAt = now;
            m_entries.splice(m_entries.begin(), m_entries, found->second);
            continue;
        }
        m_entries.push_front({part->id, part->tokens, now});
        m_byId[part->id] = m_entries.begin();
        m_tokens += part->tokens;
    }
    while (!m_entries.empty() && (m_tokens > memoryTokens || m_entries.size() > mostEntries)) {
        m_tokens -= m_entries.back().tokens;
        m_byId.erase(m_entries.back().id);
        m_entries.pop_back();
    }
}

void prompt_cache::clear()
{
    m_entries.clear();
    m_byId.clear();
    m_tokens = 0;
}

} // namespace crocuslane
