#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>

namespace crocuslane {

/// Hybrid logical time: wall-clock milliseconds, and a counter that orders events within one.
struct hybrid_time {
    std::int64_t milliseconds = 0;
    std::uint32_t logical = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the defaulted operator's zero for a pointer.
    auto operator<=>(const hybrid_time &other) const = default;
};

/// Hybrid logical clock: an event that another one caused always has the later time, also on another VM with a wall
/// clock that is behind.
class hybrid_clock
{
public:
    /// A received time further ahead of the wall clock is not adopted, so that one VM with a wrong wall clock can't
    /// drag the others along.
    static constexpr std::chrono::milliseconds maximumLead{60'000};

    /// @p clock must outlive this object.
    explicit hybrid_clock(const clock &clock);

    /// Time of a local event or of a message to send; later than all earlier ones.
    hybrid_time now();
    /// Takes in the time of a received message.
    void observe(const hybrid_time &received);

private:
    const clock &m_clock;
    hybrid_time m_last;
};

} // namespace crocuslane
