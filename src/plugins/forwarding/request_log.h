#pragma once

#include "kernel/action.h"
#include "plugins/forwarding/active_request.h"
#include "services/backend_picker.h"

namespace crocuslane {

/// Log lines about the attempts and the end of a forwarded request.
log_decision requestHeldLine(const request_id &request, bool isConfigurationRead);
log_decision attemptStartedLine(const active_request &active, const backend_choice &choice, duration timeLeft);
log_decision attemptRefusedLine(const active_request &active, const forward_answer_head &head);
log_decision attemptFailedLine(const active_request &active, attempt_failure failure, steady_time now);
/// @p choice is the runner of the larger model, which active.model names already.
log_decision answerEscalatedLine(const active_request &active, const backend_choice &choice);
/// @p delay is the predicted time until the start, @p timeLeft the time until the queue deadline.
log_decision startTooLateLine(const active_request &active, duration delay, duration timeLeft);
/// @p next is the runner that takes the request over.
log_decision silentRunnerLeftLine(const active_request &active, const backend_choice &next);
log_decision requestFinishedLine(const active_request &active, std::string_view outcome, steady_time now);
/// For the status of the process.
std::string requestDescription(const active_request &active, steady_time now);

} // namespace crocuslane
