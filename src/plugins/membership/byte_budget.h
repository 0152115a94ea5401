#pragma once

#include "base/clock.h"

namespace crocuslane {

/// Bytes that may be sent over time. May be overdrawn by messages that can't wait; others then wait longer.
class byte_budget
{
public:
    /// @p bytesPerSecond also is the most that can be saved up: one second's worth.
    explicit byte_budget(double bytesPerSecond);

    void refill(steady_time now);
    void charge(std::size_t bytes);
    /// 0 while overdrawn.
    std::size_t available() const;

private:
    double m_bytesPerSecond;
    double m_level;
    steady_time m_refilled;
};

} // namespace crocuslane
