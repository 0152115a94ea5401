#pragma once

#include "kernel/types.h"
#include "services/runner_use_exchange.h"

#include <set>

namespace crocuslane {

/// Estimate of the work of a request before it runs.
struct work_estimate {
    request_class urgency = request_class::standard;
    /// Many times longer than a typical request; may not take the slots that are kept for short work.
    bool isLong = false;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

struct pick_request {
    request_id request;
    /// Service that the runner must belong to; the version is empty for a plain service.
    service_id service;
    version_id version;
    work_estimate work;
    std::vector<std::uint64_t> prefixHashes;
    /// Runners that this request has already tried.
    std::set<runner_id> excluded;
    /// Whether a runner of another region may be taken.
    bool maySpill = false;
};

struct runner_choice {
    runner_id runner;
    std::string address;
};

/// Choice of a runner. Offered by the plug-in routing.
class runner_picker : public runner_use_exchange
{
public:
    /// Nothing when no runner has a free slot for this request.
    virtual std::optional<runner_choice> pick(const pick_request &request) = 0;
    /// True when some live runner could ever serve it, free or not.
    virtual bool hasRunner(const service_id &service, const version_id &version) const = 0;
    virtual void attemptStarted(attempt_number attempt, const pick_request &request, const runner_id &runner) = 0;
    virtual void tokenReceived(attempt_number attempt) = 0;
    /// @p failure is empty for a whole answer.
    virtual void attemptEnded(attempt_number attempt, std::optional<attempt_failure> failure) = 0;
    /// Estimate from kind, prompt and past answers.
    virtual work_estimate estimate(const model_request &request) const = 0;
    virtual void answerFinished(const kind_id &kind, const token_usage &usage) = 0;
    /// Time without a first token after which a second attempt is worth its cost; nothing when none is.
    virtual std::optional<duration> hedgeDelay(const work_estimate &work) const = 0;
    /// Takes from the budget for extra work; false when it is used up.
    virtual bool spendHedge(const work_estimate &work) = 0;
    virtual bool spendRetry() = 0;
    /// Time without a token after which an attempt counts as lost. It leaves time for reading a long prompt.
    virtual duration silenceLimit(const runner_id &runner, const work_estimate &work) const = 0;
};

} // namespace crocuslane
