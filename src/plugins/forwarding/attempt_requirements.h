#pragma once

#include "kernel/action.h"
#include "plugins/forwarding/active_request.h"
#include "plugins/forwarding/escalation_policy.h"
#include "services/backend_picker.h"

namespace crocuslane {

/// Requirements on the runner of the next attempt. They refer to @p active.
backend_requirements requirementsOf(const active_request &active, const version_rule &rule);
/// Starts the attempt active.current at the runner @p choice.
start_forward startAction(const active_request &active, const backend_choice &choice, steady_time now);
/// @p choice is the runner that would run the larger model, and @p prefill the estimate for that model.
escalation_estimate escalationEstimate(const active_request &active,
                                       const backend_choice &choice,
                                       const prefill_estimate &prefill,
                                       steady_time now);

} // namespace crocuslane
