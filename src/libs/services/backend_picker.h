#pragma once

#include "kernel/action.h"
#include "kernel/forward_types.h"
#include "kernel/types.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocuslane {

/// Which software versions of a service a request may run on.
struct version_rule {
    enum class mode {
        any,
        only,
        except,
    };
    mode kind = mode::any;
    std::string version;
    /// The version is on trial: requests use the others while no runner of it has capacity.
    bool isTrial = false;

    bool allows(const std::string &candidate) const
    {
        return kind == mode::any || (kind == mode::only) == (candidate == version);
    }
};

/// Requirements of a request on the runner that serves it.
struct backend_requirements {
    service_id service;
    version_rule versions;
    /// Null for a plain service.
    const engine_description *engine = nullptr;
    /// Parts of the prompt; null for a plain service.
    const std::vector<prompt_part> *prompt = nullptr;
    /// Model that serves the request; a runner caches prompts separately for each model.
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    /// Runners that must not be tried again; null for none.
    const std::set<runner_id> *excluded = nullptr;
    /// Regions whose runners may serve the request; null for all.
    const std::set<std::string> *homeRegions = nullptr;
};

/// Limit of a runner's requests from all entry VMs together.
struct known_rate_limit {
    double requestsPerSecond = 0.0;
    /// Time since the runner last stated it.
    duration age{};
};

struct backend_choice {
    runner_id runner;
    std::string address;
    std::string version;
    /// Expected time until the first part of the answer.
    duration expectedDelay{};
    /// Empty when the runner has stated no limit.
    std::optional<known_rate_limit> rateLimit = {};
};

/// Expected times of a prompt at runners.
struct prefill_estimate {
    /// At a runner without other requests.
    duration prefillTime{};
    /// Usual wait for other requests, over all runners.
    duration queueingDelay{};
};

/// How an attempt at a runner ended.
enum class attempt_end {
    complete,
    /// The runner answered with an error after running the request.
    failed,
    /// The connection closed or timed out, or the answer was malformed.
    lost,
    /// No connection could be established, so that nothing was sent.
    not_sent,
    /// The runner reported that it did not run the request.
    refused,
    /// Another runner answered, which now has the address.
    misdirected,
    cancelled,
};

/// Selects runners from the platform's list. Offered by the plug-in backends.
class backend_picker
{
public:
    virtual ~backend_picker() = default;
    /// True once the platform's list of runners was read.
    virtual bool isListRead() const = 0;
    /// Empty when no runner has capacity for the request.
    virtual std::optional<backend_choice> pick(const backend_requirements &requirements) = 0;
    /// True when a runner could serve the request, whether or not it has capacity now.
    virtual bool hasRunner(const backend_requirements &requirements) const = 0;
    /// Why a request without a runner is refused at once; empty when it may wait for a runner's capacity.
    virtual std::optional<refusal_reason> refusal(const backend_requirements &requirements) const
    {
        backend_requirements anyVersion = requirements;
        anyVersion.versions = {};
        return hasRunner(anyVersion) ? std::nullopt : std::optional(refusal_reason::no_runner);
    }
    /// Time until the limits that runners state let the request start, when @p before others start first: zero if a
    /// runner without a limit could serve it, empty if this VM may not send it in the foreseeable future.
    virtual std::optional<duration> limitDelay(const backend_requirements &requirements, std::size_t before) = 0;
    virtual void
    attemptStarted(attempt_number attempt, const backend_requirements &requirements, const runner_id &runner) = 0;
    /// The answer has begun, so the prompt is prefilled. Further calls for the same attempt have no effect.
    virtual void answerBegan(attempt_number attempt) = 0;
    virtual prefill_estimate estimatePrefill(const std::string &model, std::uint32_t promptTokens) const = 0;
    virtual void attemptEnded(attempt_number attempt, attempt_end end) = 0;
    /// Number of availability zones that are evacuated.
    virtual std::size_t evacuatedZoneCount() const
    {
        return 0;
    }
    virtual void noteLoad(const runner_id &runner, const reported_load &load) = 0;
};

} // namespace crocuslane
