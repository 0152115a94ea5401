#include "plugins/admission/request_bucket.h"

#include <algorithm>

namespace crocuslane {

namespace {

// One interval of the exchange between VMs: shares can't follow demand faster.
constexpr double burstSeconds = 0.5;
// Arrivals are not evenly spaced; with less, a group of a few requests/s would often count as beyond its limit.
constexpr double smallestBurst = 2.0;
constexpr double neverSeconds = 60.0;

} // namespace

void request_bucket::setRate(double perSecond, steady_time now)
{
    fill(now);
    m_rate = perSecond;
    m_capacity = std::max(smallestBurst, perSecond * burstSeconds);
    m_level = m_isNew ? m_capacity : std::min(m_level, m_capacity);
    m_isNew = false;
}

bool request_bucket::take(steady_time now)
{
    fill(now);
    if (m_level < 1.0) {
        return false;
    }
    m_level -= 1.0;
    return true;
}

double request_bucket::secondsToNext(steady_time now)
{
    fill(now);
    if (m_level >= 1.0) {
        return 0.0;
    }
    return m_rate > 0.0 ? std::min(neverSeconds, (1.0 - m_level) / m_rate) : neverSeconds;
}

void request_bucket::fill(steady_time now)
{
    if (!m_isNew) {
        m_level = std::min(m_capacity, m_level + m_rate * toSeconds(now - m_filled));
    }
    m_filled = now;
}

} // namespace crocuslane
