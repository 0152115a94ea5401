#include "plugins/membership/byte_budget.h"

#include <algorithm>

namespace crocuslane {

byte_budget::byte_budget(double bytesPerSecond)
    : m_bytesPerSecond(bytesPerSecond)
    , m_level(bytesPerSecond)
{
}

void byte_budget::refill(steady_time now)
{
    if (m_refilled != steady_time()) {
        m_level = std::min(m_bytesPerSecond, m_level + m_bytesPerSecond * toSeconds(now - m_refilled));
    }
    m_refilled = now;
}

void byte_budget::charge(std::size_t bytes)
{
    m_level -= static_cast<double>(bytes);
}

std::size_t byte_budget::available() const
{
    return m_level > 0.0 ? static_cast<std::size_t>(m_level) : 0;
}

} // namespace crocuslane
