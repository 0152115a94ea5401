#include "plugins/forwarding/attempt_observation.h"

namespace crocuslane {

version_observation
observationOf(const active_request &active, const active_attempt &attempt, attempt_result result, steady_time now)
{
    version_observation observation;
    observation.service = active.service;
    observation.version = attempt.version;
    observation.route = active.route().name;
    observation.hasFailed = result == attempt_result::failed;
    observation.isUnanswered = result == attempt_result::unanswered;
    observation.wasCounted = attempt.hasEvent;
    observation.delay = now - attempt.started;
    observation.promptTokens = active.request.promptTokens;
    return observation;
}

} // namespace crocuslane
