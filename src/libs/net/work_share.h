#pragma once

#include "base/clock.h"

namespace crocuslane {

/// Token bucket for the time that the data of one transfer take from the event loop. A transfer that has used its share
/// is paused, so that a server that sends small pieces without end doesn't delay all others.
class work_share
{
public:
    /// Records that data were handled from @p start to @p end.
    void use(steady_time start, steady_time end);
    /// Time from @p now until the transfer may use the loop again; zero when it may at once.
    duration waitTime(steady_time now) const;
    /// Lets the transfer go on at @p now after a pause, without credit for the time of the pause.
    void resume(steady_time now);

private:
    duration excess(steady_time now) const;

    /// Time used beyond the share, as of m_updated.
    duration m_excess{};
    steady_time m_updated;
};

} // namespace crocuslane
