#pragma once

#include "base/clock.h"

namespace crocuslane {

/// Budget that fills by share of regular work or by time.
class token_bucket
{
public:
    token_bucket(double capacity, double initial);

    void fill(double amount);
    /// False, and nothing taken, when less than @p amount is left.
    bool take(double amount);
    double level() const;

private:
    double m_capacity;
    double m_level;
};

} // namespace crocuslane
