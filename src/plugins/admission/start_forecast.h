#pragma once

#include "base/clock.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace crocuslane {

/// Predicts how long requests of one class wait for their start, from the starts of the class while requests of it
/// wait.
class start_forecast
{
public:
    /// Call when the first request begins to wait, or the last one has left the queue. Starts without waiting requests
    /// don't show the capacity and are not counted.
    void setContended(bool isContended, steady_time now);
    void noteStart(steady_time now);
    /// Time until @p before requests and one more have started; empty without enough recent starts.
    std::optional<duration> delay(std::size_t before, steady_time now) const;

private:
    bool m_isContended = false;
    steady_time m_contendedSince;
    std::deque<steady_time> m_starts;
};

} // namespace crocuslane
