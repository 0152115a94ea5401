#pragma once

#include "kernel/types.h"
#include "services/runner_use_exchange.h"

#include <set>

namespace crocuslane {

/// Estimate of the work of a request before it runs.
struct work_estimate {
    request_class urgency = request_class::standard;
    /// Many times longer than a typical request; must not use the slots that are reserved for short work.
    bool isLong = false;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

/// Requirements of a request on the runner that serves it.
struct pick_request {
    request_id request;
    /// Service that the runner must belong to; the version is empty for a plain service.
    service_id service;
    version_id version;
    work_estimate work;
    std::vector<std::uint64_t> prefixHashes;
    /// Runners that were already tried for this request.
    std::set<runner_id> excluded;
    /// Whether a runner of another region may be selected.
    bool maySpill = false;
};

struct runner_choice {
    runner_id runner;
    std::string address;
};

/// Selects a runner for each attempt. Offered by the plug-in routing.
class runner_picker : public runner_use_exchange
{
public:
    /// Empty when no runner has a free slot for this request.
    virtual std::optional<runner_choice> pick(const pick_request &request) = 0;
    /// True when a live runner could serve the version, whether or not it has a free slot now.
    virtual bool hasRunner(const service_id &service, const version_id &version) const = 0;
    virtual void attemptStarted(attempt_number attempt, const pick_request &request, const runner_id &runner) = 0;
    virtual void tokenReceived(attempt_number attempt) = 0;
    /// @p failure is empty for a complete answer.
    virtual void attemptEnded(attempt_number attempt, std::optional<attempt_failure> failure) = 0;
    /// Estimates the work from the request's kind, its prompt and earlier answers.
    virtual work_estimate estimate(const model_request &request) const = 0;
    virtual void answerFinished(const kind_id &kind, const token_usage &usage) = 0;
    /// Time without a first token after which a hedged attempt is worth its cost; empty when it never is.
    virtual std::optional<duration> hedgeDelay(const work_estimate &work) const = 0;
    /// Takes the work from the budget for hedged attempts; false when the budget is used up.
    virtual bool spendHedge(const work_estimate &work) = 0;
    /// Takes one attempt from the budget for retries; false when the budget is used up.
    virtual bool spendRetry() = 0;
    /// Time without a token after which an attempt counts as lost. Includes the time to process a long prompt.
    virtual duration silenceLimit(const runner_id &runner, const work_estimate &work) const = 0;
};

} // namespace crocuslane
