#include "plugins/forwarding/request_timeouts.h"

#include <algorithm>

namespace crocuslane {

namespace {

// An attempt counts as silent after this fraction of the route's objective.
constexpr double silenceFractionOfObjective = 0.7;
// A stream counts as silent after this multiple of its event interval. Runners pause their streams while they prefill a
// long prompt of another request; with a shorter limit, such a stream would be moved and its prompt prefilled again,
// although its event is late in either case.
constexpr double silenceMultipleOfEventInterval = 1.6;
constexpr std::chrono::milliseconds minimumSilenceTimeout{500};
// A queued request is refused once queueTimeoutFraction of the objective has passed since its arrival, but not before
// minimumQueueTimeFraction of the objective has passed since it was last queued.
constexpr double queueTimeoutFraction = 0.5;
constexpr double minimumQueueTimeFraction = 0.2;

} // namespace

steady_time queueDeadline(const active_request &active)
{
    const double objective = toSeconds(active.route().objective);
    const steady_time timeout = std::max(active.arrivedAt + fromSeconds(queueTimeoutFraction * objective),
                                         active.queuedAt + fromSeconds(minimumQueueTimeFraction * objective));
    return std::min(active.deadline, timeout);
}

duration silenceTimeout(const active_request &active)
{
    const forward_route &route = active.route();
    if (active.current->hasEvent && route.eventInterval > duration::zero()) {
        return fromSeconds(silenceMultipleOfEventInterval * toSeconds(route.eventInterval));
    }
    return std::max<duration>(fromSeconds(silenceFractionOfObjective * toSeconds(route.objective)),
                              minimumSilenceTimeout);
}

steady_time nextTimeout(const active_request &active)
{
    if (!active.current) {
        return queueDeadline(active);
    }
    if (!isRepeatable(active.route().kind)) {
        return active.deadline;
    }
    return std::min(active.deadline, active.current->lastActivity + silenceTimeout(active));
}

} // namespace crocuslane
