#pragma once

#include "plugins/requests/flow_environment.h"

#include <variant>

namespace crocuslane {

/// First checks of a new request: stop state, freshness, and who the caller is.
std::variant<caller, request_error> checkNewRequest(const flow_environment &environment, const std::string &keyHash);

/// The same refusal for a call with an idempotency key that was not decided by the order of the log: another entry VM
/// may have run the call for the same key, so only this try is known not to have run.
request_error beforeClaim(request_error error);

/// An error of a request of which nothing was executed.
request_error notRun(error_code code, std::string message, double retryAfterSeconds = 0.0);

} // namespace crocuslane
