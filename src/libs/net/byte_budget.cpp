#include "net/byte_budget.h"

#include <algorithm>

namespace crocuslane {

byte_budget::byte_budget(std::size_t limit)
    : m_limit(limit)
{
}

bool byte_budget::tryTake(std::size_t bytes)
{
    if (bytes > m_limit - std::min(m_used, m_limit)) {
        return false;
    }
    m_used += bytes;
    return true;
}

void byte_budget::take(std::size_t bytes)
{
    m_used += bytes;
}

void byte_budget::release(std::size_t bytes)
{
    m_used -= std::min(bytes, m_used);
}

std::size_t byte_budget::used() const
{
    return m_used;
}

} // namespace crocuslane
