#pragma once

#include "services/backend_picker.h"

namespace crocuslane {

/// Result of one attempt, attributed to the software version that served it.
struct version_observation {
    service_id service;
    std::string version;
    /// Name of the route; empty when not known.
    std::string route;
    bool hasFailed = false;
    /// The request ended before the runner had answered; the delay is the time until then.
    bool isUnanswered = false;
    /// An earlier observation counted this attempt as answered.
    bool wasCounted = false;
    /// Time to the first part of the answer.
    duration delay{};
    /// Size of the request, which determines the delay to expect.
    std::uint32_t promptTokens = 0;
};

/// Selects software versions while roll-outs are in progress. Offered by the plug-in rollouts.
class rollout_policy
{
public:
    virtual ~rollout_policy() = default;
    /// Versions for the first attempt of a request; @p session is empty when the request belongs to none.
    virtual version_rule choose(const service_id &service, const std::string &session) = 0;
    /// Versions for a further attempt; excludes a version whose roll-out was stopped meanwhile.
    virtual version_rule rule(const service_id &service, const std::string &session) const = 0;
    /// Counts an attempt that was sent to a runner of @p version.
    virtual void attemptStarted(const service_id &service, const std::string &version, bool isFirst) = 0;
    virtual void observe(const version_observation &observation) = 0;
};

} // namespace crocuslane
