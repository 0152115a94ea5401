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

sliding_minimum_rate::sliding_minimum_rate(duration window)
    : m_window(window)
{
}

void sliding_minimum_rate::sample(double perSecond, steady_time now)
{
    constexpr int samplesPerWindow = 10;
    if (!m_samples.empty() && now - m_samples.back().at < m_window / samplesPerWindow) {
        return;
    }
    while (!m_samples.empty() && now - m_samples.front().at > m_window) {
        m_samples.pop_front();
    }
    m_samples.push_back({now, perSecond});
}

double sliding_minimum_rate::lowest(double perSecond, steady_time now) const
{
    double lowest = perSecond;
    for (const rate_sample &sample : m_samples) {
        if (now - sample.at <= m_window) {
            lowest = std::min(lowest, sample.perSecond);
        }
    }
    return lowest;
}

} // namespace crocuslane
