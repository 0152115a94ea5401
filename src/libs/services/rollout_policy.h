#pragma once

#include "services/backend_picker.h"

namespace crocuslane {

/// What one answer showed about the version that made it.
struct version_observation {
    service_id service;
    std::string version;
    bool hasFailed = false;
    /// Time to the first part of the answer; zero when there was none.
    duration delay{};
    /// Prompt size, to compare delays of like requests.
    std::uint32_t promptTokens = 0;
};

/// Roll-outs in progress. Offered by the plug-in rollouts.
class rollout_policy
{
public:
    virtual ~rollout_policy() = default;
    /// Versions for a new request; counts it when it goes to a new version.
    virtual version_rule choose(const service_id &service, const std::string &session) = 0;
    /// Versions for a repeat of a request; a version that was stopped since is not among them.
    virtual version_rule rule(const service_id &service) const = 0;
    virtual void observe(const version_observation &observation) = 0;
};

} // namespace crocuslane
