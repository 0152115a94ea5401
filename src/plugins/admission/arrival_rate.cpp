#include "plugins/admission/arrival_rate.h"

#include <algorithm>
#include <cmath>

namespace crocuslane {

arrival_rate::arrival_rate(duration timeConstant)
    : m_timeConstantSeconds(toSeconds(timeConstant))
{
}

void arrival_rate::count(steady_time now)
{
    m_rate = perSecond(now) + 1.0 / m_timeConstantSeconds;
    m_updated = now;
}

double arrival_rate::perSecond(steady_time now) const
{
    return m_rate * std::exp(-toSeconds(now - m_updated) / m_timeConstantSeconds);
}

told_rate::told_rate(duration delay)
    : m_delay(delay)
{
}

void told_rate::sample(double perSecond, steady_time now)
{
    constexpr int samplesPerDelay = 10;
    if (!m_samples.empty() && now - m_samples.back().at < m_delay / samplesPerDelay) {
        return;
    }
    while (!m_samples.empty() && now - m_samples.front().at > m_delay) {
        m_samples.pop_front();
    }
    m_samples.push_back({now, perSecond});
}

double told_rate::lowest(double perSecond, steady_time now) const
{
    double lowest = perSecond;
    for (const rate_sample &sample : m_samples) {
        if (now - sample.at <= m_delay) {
            lowest = std::min(lowest, sample.perSecond);
        }
    }
    return lowest;
}

} // namespace crocuslane
