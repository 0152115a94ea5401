#include "plugins/forwarding/attempt_requirements.h"
#include "plugins/forwarding/forward_flow.h"

#include <utility>
#include <vector>

namespace crocuslane {

std::optional<backend_choice> forward_flow::pickForRetry(const active_request &active) const
{
    return m_environment.backends->pick(requirementsOf(active, versionRule(active)));
}

std::optional<refusal_reason> forward_flow::placementRefusal(const active_request &active) const
{
    const auto reason = m_environment.backends->refusal(requirementsOf(active, versionRule(active)));
    // Without any runner the request waits for its queue timeout: runners that restart are listed again soon.
    return reason == refusal_reason::no_runner ? std::nullopt : reason;
}

void forward_flow::refuseUnplaceable(action_list &actions)
{
    std::vector<std::pair<request_id, refusal_reason>> refused;
    for (const auto &[id, active] : m_activeRequests) {
        if (active.current) {
            continue;
        }
        if (const auto reason = placementRefusal(active)) {
            refused.emplace_back(id, *reason);
        }
    }
    for (const auto &[id, reason] : refused) {
        endWithoutAnswer(m_activeRequests.at(id), reason, refusal_reason::attempts_exhausted_may_have_run, actions);
    }
}

void forward_flow::applyHomeRegions()
{
    for (auto &[id, active] : m_activeRequests) {
        const forward_request &request = active.request;
        const auto found = m_environment.routes->match(request.host, request.path, request.callerKey);
        // A request whose route or key was removed keeps the regions that it had.
        if (const auto *match = std::get_if<route_match>(&found)) {
            active.match.homeRegions = match->homeRegions;
        }
    }
}

} // namespace crocuslane
