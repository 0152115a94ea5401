#pragma once

#include "base/clock.h"

#include <deque>

namespace crocuslane {

/// Exponentially smoothed rate of arrivals, per second.
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

/// Lowest value of a rate within a time: what other VMs, which hear of a rise that much later, know at least.
class told_rate
{
public:
    explicit told_rate(duration delay);

    void sample(double perSecond, steady_time now);
    /// @p perSecond is the rate now.
    double lowest(double perSecond, steady_time now) const;

private:
    struct rate_sample {
        steady_time at;
        double perSecond = 0.0;
    };

    duration m_delay;
    std::deque<rate_sample> m_samples;
};

} // namespace crocuslane
