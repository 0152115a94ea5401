#pragma once

#include "plugins/requests/flow_environment.h"

#include <variant>

namespace crocuslane {

/// Checks that this entry VM takes new requests and that its configuration is fresh, and identifies the caller by its
/// key.
std::variant<caller, request_error> checkNewRequest(const flow_environment &environment, const std::string &keyHash);

/// Converts the refusal of a call with an idempotency key that was refused before the log decided its claim: another
/// entry VM may have run the call for the same key, so the execution state becomes unknown.
request_error refusedBeforeClaim(request_error error);

/// Error of a request of which nothing has run.
request_error notRun(error_code code, std::string message, double retryAfterSeconds = 0.0);

} // namespace crocuslane
