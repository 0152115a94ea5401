#include "plugins/membership/byte_budget.h"

#include <algorithm>

namespace crocuslane {

byte_budget::byte_budget(double bytesPerSecond)
    : m_bytesPerSecond(bytesPerSecond)
    , m_availableBytes(bytesPerSecond)
{
}

void byte_budget::refill(steady_time now)
{
    if (m_lastRefill != steady_time()) {
        m_availableBytes =
            std::min(m_bytesPerSecond, m_availableBytes + m_bytesPerSecond * toSeconds(now - m_lastRefill));
    }
    m_lastRefill = now;
}

void byte_budget::charge(std::size_t bytes)
{
    m_availableBytes -= static_cast<double>(bytes);
}

std::size_t byte_budget::available() const
{
    return m_availableBytes > 0.0 ? static_cast<std::size_t>(m_availableBytes) : 0;
}

} // namespace crocuslane
