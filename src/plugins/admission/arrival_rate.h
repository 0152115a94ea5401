#pragma once

#include "base/clock.h"

#include <deque>

namespace crocuslane {

/// Exponentially smoothed rate of arrivals in requests per second.
class arrival_rate
{
public:
    explicit arrival_rate(duration timeConstant);

    void count(steady_time now);
    double perSecond(steady_time now) const;

private:
    double m_timeConstantSeconds;
    double m_rate = 0.0;
    steady_time m_updated;
};

/// Lowest value of a rate within a sliding window.
///
/// With a window as long as the delay of the exchange between VMs, this is a rate that the other VMs have already
/// received.
class sliding_minimum_rate
{
public:
    explicit sliding_minimum_rate(duration window);

    void sample(double perSecond, steady_time now);
    /// Lowest sample of the window, or @p perSecond, the current rate, if that is lower.
    double lowest(double perSecond, steady_time now) const;

private:
    struct rate_sample {
        steady_time at;
        double perSecond = 0.0;
    };

    duration m_window;
    std::deque<rate_sample> m_samples;
};

} // namespace crocuslane
