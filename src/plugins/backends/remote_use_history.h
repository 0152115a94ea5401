#pragma once

#include "base/clock.h"

namespace crocuslane {

/// Average and age of the number of requests that the other VMs have in progress at one runner.
class remote_use_history
{
public:
    /// @p total is the sum of the last counts of all other VMs; @p age is the mean age of these counts.
    void update(double total, duration age, steady_time now);
    double average() const;
    duration age(steady_time now) const;

private:
    double m_average = 0.0;
    duration m_age{};
    steady_time m_updatedAt;
    bool m_isKnown = false;
};

} // namespace crocuslane
