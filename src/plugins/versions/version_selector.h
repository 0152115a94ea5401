#pragma once

#include "base/random_source.h"
#include "plugins/versions/quality_estimator.h"

#include <optional>
#include <vector>

namespace crocuslane {

/// A version that a request may run on, with what is known about it for the kind of the request.
struct version_option {
    version_id version;
    /// Expected cost of one answer.
    double cost = 0.0;
    quality_estimate quality;
    /// Share of weak answers, which are escalated to the next costlier version.
    double weakRate = 0.0;
};

/// Orders versions for a request: the plan with the lowest expected cost whose quality is sure to meet the target, then
/// the versions to escalate to.
class version_selector
{
public:
    explicit version_selector(random_source &random);

    /// @p options must not be empty.
    std::vector<version_id> order(std::vector<version_option> options, double qualityTarget);

private:
    std::optional<std::size_t>
    explore(const std::vector<version_option> &options, std::size_t first, double qualityTarget);

    random_source &m_random;
};

} // namespace crocuslane
