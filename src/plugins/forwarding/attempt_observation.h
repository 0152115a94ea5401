#pragma once

#include "plugins/forwarding/active_request.h"
#include "services/rollout_policy.h"

namespace crocuslane {

/// What an attempt says about the software version that served it.
enum class attempt_result {
    answered,
    failed,
    /// The caller or a deadline ended it before the answer began.
    unanswered,
};

version_observation
observationOf(const active_request &active, const active_attempt &attempt, attempt_result result, steady_time now);

} // namespace crocuslane
