#include "plugins/forwarding/route_durations.h"

#include <algorithm>

namespace crocuslane {

void route_durations::record(const std::string &route, duration time)
{
    latest_times &latest = m_routes[route];
    latest.times[latest.next] = time;
    latest.next = (latest.next + 1) % rememberedRequests;
}

duration route_durations::longest(const std::string &route) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        return duration::zero();
    }
    return *std::max_element(found->second.times.begin(), found->second.times.end());
}

} // namespace crocuslane
