#include "plugins/admission/request_bucket.h"

#include <algorithm>

namespace crocuslane {

namespace {

// One interval of the demand exchange between VMs: shares can't follow demand any faster.
constexpr double burstSeconds = 0.5;
// Arrivals are not evenly spaced; with a smaller burst, a group of a few requests/s would often exceed its limit.
constexpr double smallestBurst = 2.0;
// Upper bound of secondsToNext(), also used at rate 0.
constexpr double maximumWaitSeconds = 60.0;

} // namespace

void request_bucket::setRate(double perSecond, steady_time now)
{
    refill(now);
    m_rate = perSecond;
    m_capacity = std::max(smallestBurst, perSecond * burstSeconds);
    m_level = m_isNew ? m_capacity : std::min(m_level, m_capacity);
    m_isNew = false;
}

bool request_bucket::tryTake(steady_time now)
{
    refill(now);
    if (m_level < 1.0) {
        return false;
    }
    m_level -= 1.0;
    return true;
}

double request_bucket::secondsToNext(steady_time now)
{
    refill(now);
    if (m_level >= 1.0) {
        return 0.0;
    }
    return m_rate > 0.0 ? std::min(maximumWaitSeconds, (1.0 - m_level) / m_rate) : maximumWaitSeconds;
}

void request_bucket::refill(steady_time now)
{
    if (!m_isNew) {
        m_level = std::min(m_capacity, m_level + m_rate * toSeconds(now - m_lastRefill));
    }
    m_lastRefill = now;
}

} // namespace crocuslane
