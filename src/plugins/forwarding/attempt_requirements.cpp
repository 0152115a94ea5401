#include "plugins/forwarding/attempt_requirements.h"

namespace crocuslane {

namespace {

// Assumed length of an answer when the caller states neither an estimate nor a maximum.
constexpr std::uint32_t defaultOutputTokens = 200;

std::uint32_t outputTokensOf(const forward_request &request)
{
    if (request.expectedTokens) {
        return *request.expectedTokens;
    }
    return request.maximumTokens > 0 ? request.maximumTokens : defaultOutputTokens;
}

} // namespace

backend_requirements requirementsOf(const active_request &active, const version_rule &rule)
{
    backend_requirements requirements;
    requirements.service = active.service;
    requirements.versions = rule;
    requirements.engine = active.engine;
    requirements.prompt = &active.prompt;
    requirements.model = active.model.empty() ? active.request.model : active.model;
    requirements.promptTokens = active.request.promptTokens;
    requirements.outputTokens = outputTokensOf(active.request);
    requirements.excluded = &active.triedRunners;
    requirements.homeRegions = active.match.homeRegions ? &*active.match.homeRegions : nullptr;
    return requirements;
}

start_forward startAction(const active_request &active, const backend_choice &choice, steady_time now)
{
    start_forward action;
    action.attempt = active.current->number;
    action.request = active.request.request;
    action.runner = choice.runner;
    action.address = choice.address;
    if (active.match.organisation != nullptr) {
        action.organisation = active.match.organisation->id;
    }
    action.timeLeft = active.deadline - now;
    action.model = active.model;
    if (active.engine != nullptr) {
        action.priority = active.match.priority();
    }
    action.resumeAfter = active.lastEvent;
    action.isStream = isStream(active.route().kind);
    return action;
}

escalation_estimate escalationEstimate(const active_request &active,
                                       const backend_choice &choice,
                                       const prefill_estimate &prefill,
                                       steady_time now)
{
    escalation_estimate estimate;
    estimate.confidence = active.confidence.value_or(0);
    estimate.promptTokens = active.request.promptTokens;
    estimate.outputTokens = outputTokensOf(active.request);
    estimate.elapsed = now - active.arrivedAt;
    estimate.objective = active.route().objective;
    estimate.expectedDelay = choice.expectedDelay;
    estimate.prefillTime = prefill.prefillTime;
    estimate.queueingDelay = prefill.queueingDelay;
    return estimate;
}

} // namespace crocuslane
