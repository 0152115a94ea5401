#pragma once

#include "base/clock.h"
#include "services/backend_picker.h"

namespace crocuslane {

/// What a runner did with the requests of this VM, as a reason to avoid it.
class failure_record
{
public:
    void note(attempt_end end, steady_time now);
    /// Share of recent requests that failed, 0 to 1; fades with time, so that the runner is tried again.
    double share(steady_time now) const;
    /// The runner gets no requests before this time.
    steady_time avoidedUntil() const;

private:
    void fade(steady_time now);
    void avoid(duration time, steady_time now);

    double m_share = 0.0;
    steady_time m_fadedAt;
    unsigned m_consecutive = 0;
    steady_time m_avoidedUntil;
};

} // namespace crocuslane
