#pragma once

#include "base/clock.h"

#include <optional>

namespace crocuslane {

/// Which requests a process takes and starts after it was told to stop.
class planned_stop
{
public:
    /// @p timeLeft is the time until all requests need an answer, if there is such a limit. New requests are accepted
    /// for at most @p acceptTime, and not in the second half of the time that is left.
    void begin(steady_time now, std::optional<duration> timeLeft, duration acceptTime);
    bool acceptsRequests(steady_time now) const;
    /// @p deadline, or the end if that is earlier.
    steady_time limit(steady_time deadline) const;
    bool isOver(steady_time now) const;
    /// Whether a request that takes @p time would have its answer before the end.
    bool leavesTimeFor(duration time, steady_time now) const;

private:
    steady_time m_acceptsUntil = steady_time::max();
    /// When all requests need an answer.
    steady_time m_end = steady_time::max();
};

} // namespace crocuslane
