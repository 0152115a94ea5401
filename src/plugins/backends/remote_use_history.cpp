#include "plugins/backends/remote_use_history.h"

#include <cmath>

namespace crocuslane {

namespace {

// Longer than the swings that stale counts cause, and short enough to follow the load of a day.
constexpr double averagingSeconds = 8.0;

} // namespace

void remote_use_history::update(double total, duration age, steady_time now)
{
    const double weight = m_isKnown ? 1.0 - std::exp(-toSeconds(now - m_updatedAt) / averagingSeconds) : 1.0;
    m_average += weight * (total - m_average);
    m_age = age;
    m_updatedAt = now;
    m_isKnown = true;
}

double remote_use_history::average() const
{
    return m_average;
}

duration remote_use_history::age(steady_time now) const
{
    return m_isKnown ? m_age + (now - m_updatedAt) : duration::zero();
}

} // namespace crocuslane
