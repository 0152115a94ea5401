#pragma once

#include "base/clock.h"

namespace crocuslane {

/// Token bucket of requests whose rate changes with this VM's share of a limit.
class request_bucket
{
public:
    enum class initial_level {
        empty,
        full,
    };

    explicit request_bucket(initial_level level);
    /// Refills at the old rate up to @p now, then changes the rate. @p capacity is in requests.
    void setRate(double perSecond, double capacity, steady_time now);
    /// Takes one request; false, with nothing taken, if less than one is available.
    bool tryTake(steady_time now);
    /// Seconds until the next request can be taken, at most 60; 60 if none is available at rate 0.
    double secondsToNext(steady_time now);

private:
    void refill(steady_time now);

    initial_level m_initialLevel;
    double m_rate = 0.0;
    double m_capacity = 0.0;
    double m_level = 0.0;
    bool m_isNew = true;
    steady_time m_lastRefill;
};

} // namespace crocuslane
