#pragma once

#include "base/clock.h"

namespace crocuslane {

/// Token bucket for the bytes that may be sent. Urgent messages may overdraw it; other messages then wait until it is
/// positive again.
class byte_budget
{
public:
    /// The capacity equals the bytes of one second, @p bytesPerSecond.
    explicit byte_budget(double bytesPerSecond);

    void refill(steady_time now);
    void charge(std::size_t bytes);
    /// 0 while overdrawn.
    std::size_t available() const;

private:
    double m_bytesPerSecond;
    double m_availableBytes;
    steady_time m_lastRefill;
};

} // namespace crocuslane
