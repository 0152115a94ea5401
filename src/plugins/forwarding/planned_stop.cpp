#include "plugins/forwarding/planned_stop.h"

#include <algorithm>

namespace crocuslane {

void planned_stop::begin(steady_time now, std::optional<duration> timeLeft, duration acceptTime)
{
    m_acceptsUntil = now + acceptTime;
    if (timeLeft) {
        const duration left = std::max(*timeLeft, duration::zero());
        m_end = now + left;
        m_acceptsUntil = std::min(m_acceptsUntil, now + left / 2);
    }
}

bool planned_stop::acceptsRequests(steady_time now) const
{
    return now < m_acceptsUntil;
}

steady_time planned_stop::limit(steady_time deadline) const
{
    return std::min(deadline, m_end);
}

bool planned_stop::isOver(steady_time now) const
{
    return now >= m_end;
}

bool planned_stop::leavesTimeFor(duration time, steady_time now) const
{
    return m_end == steady_time::max() || now + time < m_end;
}

} // namespace crocuslane
