#pragma once

#include "base/clock.h"

namespace crocuslane {

/// Token bucket that limits the rate of appends of one VM, over all streams.
class append_budget
{
public:
    explicit append_budget(double appendsPerSecond = 50.0);

    /// Takes a token if one is available.
    bool tryTake(steady_time now);
    /// Earliest time at which tryTake() can succeed.
    steady_time nextAvailable(steady_time now) const;

private:
    double available(steady_time now) const;

    double m_rate;
    double m_capacity;
    double m_tokens;
    steady_time m_updated = steady_time::min();
};

} // namespace crocuslane
