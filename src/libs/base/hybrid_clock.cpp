#include "base/hybrid_clock.h"

#include <limits>

namespace crocuslane {

hybrid_clock::hybrid_clock(const clock &clock)
    : m_clock(clock)
{
}

hybrid_time hybrid_clock::now()
{
    const std::int64_t wall = unixMilliseconds(m_clock.systemNow());
    if (wall > m_last.milliseconds) {
        m_last = {wall, 0};
    } else if (m_last.logical == std::numeric_limits<std::uint32_t>::max()) {
        m_last = {m_last.milliseconds + 1, 0};
    } else {
        ++m_last.logical;
    }
    return m_last;
}

void hybrid_clock::observe(const hybrid_time &received)
{
    const std::int64_t wall = unixMilliseconds(m_clock.systemNow());
    if (received > m_last && received.milliseconds <= wall + maximumLead.count()) {
        m_last = received;
    }
}

} // namespace crocuslane
