#pragma once

#include "kernel/forward_types.h"
#include "kernel/types.h"

#include <optional>
#include <set>
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

    bool allows(const std::string &candidate) const
    {
        return kind == mode::any || (kind == mode::only) == (candidate == version);
    }
};

struct backend_requirements {
    service_id service;
    version_rule versions;
    /// Null for a plain service.
    const engine_description *engine = nullptr;
    /// Parts of the prompt; null for a plain service.
    const std::vector<prompt_part> *prompt = nullptr;
    /// Model that will run it; a runner keeps what it read for each model apart.
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    /// Runners that are not to be tried again.
    const std::set<runner_id> *excluded = nullptr;
};

struct backend_choice {
    runner_id runner;
    std::string address;
    std::string version;
    /// Expected time until the first part of the answer.
    duration expectedDelay{};
};

/// How an attempt at a runner ended.
enum class attempt_end {
    complete,
    /// The runner answered with a failure after running.
    failed,
    /// No answer, a broken one, or silence.
    lost,
    /// No connection.
    not_sent,
    /// The runner stated that it did not run the request.
    refused,
    /// Another runner has the address.
    misdirected,
    cancelled,
};

/// Choice among the runners that the platform lists. Offered by the plug-in backends.
class backend_picker
{
public:
    virtual ~backend_picker() = default;
    /// Nothing when no runner has room for the request.
    virtual std::optional<backend_choice> pick(const backend_requirements &requirements) = 0;
    /// True when a runner could serve the request, with room or not.
    virtual bool hasRunner(const backend_requirements &requirements) const = 0;
    virtual void
    attemptStarted(attempt_number attempt, const backend_requirements &requirements, const runner_id &runner) = 0;
    virtual void firstEventReceived(attempt_number attempt) = 0;
    virtual void attemptEnded(attempt_number attempt, attempt_end end) = 0;
    virtual void noteLoad(const runner_id &runner, const reported_load &load) = 0;
};

} // namespace crocuslane
