#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>

namespace crocuslane {

/// Hybrid logical time: wall-clock milliseconds, and a counter that orders events within one millisecond.
struct hybrid_time {
    std::int64_t milliseconds = 0;
    std::uint32_t logical = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): the check reports the zero in the defaulted operator as a null pointer.
    auto operator<=>(const hybrid_time &other) const = default;
};

/// Hybrid logical clock: an event always has a later time than the event that caused it, even when that happened on a
/// VM whose wall clock is ahead.
class hybrid_clock
{
public:
    /// A received time that is further ahead of the wall clock is ignored, so that one VM with a wrong wall clock can't
    /// move the times of all others.
    static constexpr std::chrono::milliseconds maximumLead{60'000};

    /// @p clock must outlive this object.
    explicit hybrid_clock(const clock &clock);

    /// Time of a local event or of a message to send; later than all earlier ones.
    hybrid_time now();
    /// Advances the clock past the time of a received message.
    void observe(const hybrid_time &received);

private:
    const clock &m_clock;
    hybrid_time m_last;
};

} // namespace crocuslane
