#include "plugins/requests/request_gate.h"

namespace crocuslane {

namespace {

// Callers wait at most this long for quick answers before they would rather have a clear refusal.
constexpr std::chrono::seconds interactiveQueueLimit{3};
constexpr std::chrono::seconds standardQueueLimit{10};
constexpr std::chrono::seconds batchQueueLimit{60};
constexpr double staleRetrySeconds = 2.0;

} // namespace

duration queueLimit(request_class urgency)
{
    switch (urgency) {
    case request_class::interactive:
        return interactiveQueueLimit;
    case request_class::standard:
        return standardQueueLimit;
    case request_class::batch:
        return batchQueueLimit;
    }
    return standardQueueLimit;
}

request_error notRun(error_code code, std::string message, double retryAfterSeconds)
{
    return {code, execution_state::not_run, std::move(message), retryAfterSeconds};
}

request_error beforeClaim(request_error error)
{
    // These refusals would come again for any request of this caller; no entry VM can have run it.
    const bool isNeverRun = error.code == error_code::unauthenticated
        || error.code == error_code::bad_request
        // The log says that the one that might have run it did not.
        || error.code == error_code::not_repeated;
    if (!isNeverRun && error.execution == execution_state::not_run) {
        error.execution = execution_state::unknown;
        error.message += "; this try did not run, an earlier one with this key may have: repeat it with the same key";
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
                      staleRetrySeconds);
    }
    const std::shared_ptr<const configuration> current = environment.services.configuration->current();
    if (!current) {
        return notRun(error_code::configuration_unconfirmed, "no configuration is known yet", staleRetrySeconds);
    }
    const auto groupId = current->groupsByKeyHash.find(keyHash);
    if (keyHash.empty() || groupId == current->groupsByKeyHash.end()) {
        return notRun(error_code::unauthenticated, "the key is missing or unknown");
    }
    const auto group = current->callerGroups.find(groupId->second);
    if (group == current->callerGroups.end()) {
        return notRun(error_code::unauthenticated, "the caller group of the key does not exist");
    }
    return caller{group->second.organisation, group->second.id};
}

} // namespace crocuslane
