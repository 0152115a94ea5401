#include "plugins/requests/request_checks.h"

namespace crocuslane {

namespace {

// A caller that needs a quick answer is better served by a clear refusal than by a longer wait.
constexpr std::chrono::seconds interactiveQueueTimeout{3};
constexpr std::chrono::seconds standardQueueTimeout{10};
constexpr std::chrono::seconds batchQueueTimeout{60};
constexpr double staleRetryAfterSeconds = 2.0;

} // namespace

duration queueTimeout(request_class urgency)
{
    switch (urgency) {
    case request_class::interactive:
        return interactiveQueueTimeout;
    case request_class::standard:
        return standardQueueTimeout;
    case request_class::batch:
        return batchQueueTimeout;
    }
    return standardQueueTimeout;
}

request_error notRun(error_code code, std::string message, double retryAfterSeconds)
{
    return {code, execution_state::not_run, std::move(message), retryAfterSeconds};
}

request_error refusedBeforeClaim(request_error error)
{
    // Every entry VM refuses such a request, so none has run the call.
    const bool isKnownNotRun = error.code == error_code::unauthenticated
        || error.code == error_code::bad_request
        // Decided from the log: the earlier claim of the key is recorded as not run.
        || error.code == error_code::not_repeated;
    if (!isKnownNotRun && error.execution == execution_state::not_run) {
        error.execution = execution_state::unknown;
        error.message +=
            "; this request did not run, but an earlier one with the same key may have run: retry with the same key";
    }
    return error;
}

std::variant<caller, request_error> checkNewRequest(const flow_environment &environment, const std::string &keyHash)
{
    if (environment.isStopping) {
        return notRun(error_code::shutting_down, "this entry VM is shutting down; use another address");
    }
    if (!environment.isFresh()) {
        return notRun(error_code::configuration_unconfirmed,
                      "this entry VM cannot confirm that its configuration is the newest",
                      staleRetryAfterSeconds);
    }
    const std::shared_ptr<const configuration> current = environment.services.configuration->current();
    if (!current) {
        return notRun(error_code::configuration_unconfirmed,
                      "this entry VM has not received a configuration yet",
                      staleRetryAfterSeconds);
    }
    const auto groupId = current->groupsByKeyHash.find(keyHash);
    if (keyHash.empty() || groupId == current->groupsByKeyHash.end()) {
        return notRun(error_code::unauthenticated, "the API key is missing or unknown");
    }
    const auto group = current->callerGroups.find(groupId->second);
    if (group == current->callerGroups.end()) {
        return notRun(error_code::unauthenticated, "the caller group of the API key does not exist");
    }
    return caller{group->second.organisation, group->second.id};
}

} // namespace crocuslane
