#pragma once

#include "plugins/requests/flow_environment.h"

#include <variant>

namespace crocuslane {

/// First checks of a new request: stop state, freshness, and who the caller is.
std::variant<caller, request_error> checkNewRequest(const flow_environment &environment, const std::string &keyHash);

/// An error of a request of which nothing was executed.
request_error notRun(error_code code, std::string message, double retryAfterSeconds = 0.0);

} // namespace crocuslane
