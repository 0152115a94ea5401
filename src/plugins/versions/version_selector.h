#pragma once

#include "base/random_source.h"
#include "plugins/versions/quality_estimator.h"

#include <optional>
#include <vector>

namespace crocuslane {

/// A version that a request may run on, with its estimates for the kind of the request.
struct version_option {
    version_id version;
    /// Expected cost of one answer.
    double cost = 0.0;
    quality_estimate quality;
    /// Share of weak answers (empty or a refusal), which are escalated to the next more expensive version.
    double weakRate = 0.0;
};

/// Orders the versions for a request.
///
/// The first version is the one with the lowest expected cost, escalation included, among those whose lower confidence
/// bound of the quality meets the target, or the most expensive one if there is none. The versions to escalate to
/// follow by increasing cost. A share of the requests starts at a cheaper version instead, to collect ratings for it.
class version_selector
{
public:
    explicit version_selector(random_source &random);

    /// @p options must not be empty.
    std::vector<version_id> order(std::vector<version_option> options, double qualityTarget);

private:
    /// Index of a cheaper option to start at instead of @p first, to collect ratings for it; nothing if the random draw
    /// selects none.
    std::optional<std::size_t>
    explore(const std::vector<version_option> &options, std::size_t first, double qualityTarget);

    random_source &m_random;
};

} // namespace crocuslane
