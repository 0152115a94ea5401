#pragma once

#include "base/clock.h"

namespace crocuslane {

/// Token bucket that its owner refills, in proportion to regular work or to the time elapsed.
class token_bucket
{
public:
    token_bucket(double capacity, double initialLevel);

    void fill(double amount);
    /// Returns false and takes nothing when the level is below @p amount.
    bool take(double amount);
    double level() const;

private:
    double m_capacity;
    double m_level;
};

} // namespace crocuslane
