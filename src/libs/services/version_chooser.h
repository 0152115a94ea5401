#pragma once

#include "kernel/types.h"

#include <variant>

namespace crocuslane {

struct version_candidates {
    /// In the order in which they should be tried; never empty.
    std::vector<version_id> versions;
    /// The request belongs to a session that is bound to a version, which is the only candidate.
    bool isBoundBySession = false;
};

/// Properties of one answer, attributed to the version that made it.
struct answer_observation {
    request_id request;
    version_id version;
    kind_id kind;
    bool wasEmpty = false;
    bool wasRefusal = false;
    bool hasFailed = false;
    duration timeToFirstToken{};
    duration timePerToken{};
    token_usage usage;
};

/// Selects models and versions. Offered by the plug-in versions.
class version_chooser
{
public:
    virtual ~version_chooser() = default;
    virtual std::variant<version_candidates, request_error> choose(const model_request &request,
                                                                   const caller &caller) = 0;
    /// Checks that the organisation may use the version and that it is not withdrawn. Call directly before every
    /// attempt. With @p isBoundBySession a draining version is allowed.
    virtual bool
    mayServe(const version_id &version, const organisation_id &organisation, bool isBoundBySession) const = 0;
    /// Makes a signed token that binds later requests of the session to @p version.
    virtual std::string sessionToken(const model_request &request, const caller &caller, const version_id &version) = 0;
    virtual void observe(const answer_observation &observation) = 0;
    /// Cost of an answer in millionths of the operators' currency unit.
    virtual std::uint64_t cost(const version_id &version, const token_usage &usage) const = 0;
};

} // namespace crocuslane
