#include "plugins/backends/prompt_cache.h"

namespace crocuslane {

namespace {

// Requests in progress and prompt parts from other VMs use the runner's memory too, so that it has probably evicted an
// older part.
constexpr std::chrono::seconds entryLifetime{60};
constexpr std::size_t maximumEntries = 4096;

} // namespace

std::uint32_t prompt_cache::cachedTokens(const std::vector<prompt_part> &prompt, steady_time now) const
{
    std::uint32_t cached = 0;
    for (const prompt_part &part : prompt) {
        const auto found = m_byId.find(part.id);
        // A runner can reuse a cached part only when all parts before it are cached too.
        if (found == m_byId.end() || now - found->second->usedAt > entryLifetime) {
            break;
        }
        cached += part.tokens;
    }
    return cached;
}

void prompt_cache::add(const std::vector<prompt_part> &prompt, std::uint64_t memoryTokens, steady_time now)
{
    // Adds the last part first, so that the parts at the front of a prompt are evicted last.
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
    while (!m_entries.empty() && (m_tokens > memoryTokens || m_entries.size() > maximumEntries)) {
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
