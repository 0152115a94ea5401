#include "base/request_bucket.h"

#include <algorithm>

namespace crocuslane {

namespace {

// Upper bound of secondsToNext(), also used at rate 0.
constexpr double maximumWaitSeconds = 60.0;

} // namespace

request_bucket::request_bucket(initial_level level)
    : m_initialLevel(level)
{
}

void request_bucket::setRate(double perSecond, double capacity, steady_time now)
{
    refill(now);
    m_rate = perSecond;
    m_capacity = capacity;
    const bool startsFull = m_isNew && m_initialLevel == initial_level::full;
    m_level = startsFull ? m_capacity : std::min(m_level, m_capacity);
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
