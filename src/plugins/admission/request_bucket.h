#pragma once

#include "base/clock.h"

namespace crocuslane {

/// Token bucket of requests whose rate changes with this VM's share of a limit.
class request_bucket
{
public:
    /// Fills up to @p now at the old rate first.
    void setRate(double perSecond, steady_time now);
    /// False, and nothing taken, when no whole request is left.
    bool take(steady_time now);
    /// Seconds until the next request can be taken; a large number at rate 0.
    double secondsToNext(steady_time now);

private:
    void fill(steady_time now);

    double m_rate = 0.0;
    double m_capacity = 0.0;
    double m_level = 0.0;
    bool m_isNew = true;
    steady_time m_filled;
};

} // namespace crocuslane
