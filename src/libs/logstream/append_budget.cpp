#include "logstream/append_budget.h"

#include <algorithm>

namespace crocuslane {

namespace {

// Allows a short burst after an idle time, so that each stream can append a group at once. Small, because the log
// service limits the appends of all VMs together.
constexpr double burstSeconds = 0.1;

} // namespace

append_budget::append_budget(double appendsPerSecond)
    : m_rate(appendsPerSecond)
    , m_capacity(std::max(1.0, appendsPerSecond * burstSeconds))
    , m_tokens(m_capacity)
{
}

double append_budget::available(steady_time now) const
{
    if (m_updated == steady_time::min() || now <= m_updated) {
        return m_tokens;
    }
    return std::min(m_capacity, m_tokens + toSeconds(now - m_updated) * m_rate);
}

bool append_budget::tryTake(steady_time now)
{
    m_tokens = available(now);
    m_updated = std::max(m_updated, now);
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

steady_time append_budget::nextAvailable(steady_time now) const
{
    const double missing = 1.0 - available(now);
    // Adds a microsecond, because with the wait rounded down the token would still be missing.
    return missing <= 0.0 ? now : now + fromSeconds(missing / m_rate) + std::chrono::microseconds(1);
}

} // namespace crocuslane
