#pragma once

#include "base/clock.h"
#include "services/backend_picker.h"

namespace crocuslane {

/// Failures of this VM's requests at one runner, and the time for which the runner is avoided because of them.
class failure_record
{
public:
    void addResult(attempt_end end, steady_time now);
    /// Share of recent requests that failed, 0 to 1; decays with time, so that the runner is tried again.
    double failureRate(steady_time now) const;
    /// The runner gets no requests before this time.
    steady_time avoidedUntil() const;

private:
    void decay(steady_time now);
    void avoid(duration time, steady_time now);

    double m_failureRate = 0.0;
    steady_time m_decayedAt;
    unsigned m_consecutive = 0;
    steady_time m_avoidedUntil;
};

} // namespace crocuslane
