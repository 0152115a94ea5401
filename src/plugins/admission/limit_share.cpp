#include "plugins/admission/limit_share.h"

#include <algorithm>
#include <numeric>

namespace crocuslane {

namespace {

// A VM without demand keeps this fraction of its even share, so that its first requests can be admitted.
constexpr double idleFraction = 0.05;

} // namespace

double limitShare(const share_inputs &inputs)
{
    const std::size_t reportingVms = 1 + inputs.freshRates.size() + inputs.staleRates.size();
    const std::size_t vmCount = std::max(inputs.vmCount, reportingVms);
    const double evenShare = 1.0 / static_cast<double>(vmCount);
    const double idleWeight = std::max(idleFraction * inputs.limit * evenShare, 1e-6);

    const double ownWeight = inputs.ownRate + idleWeight;
    const double freshWeight = std::accumulate(inputs.freshRates.begin(), inputs.freshRates.end(), ownWeight)
        + idleWeight * static_cast<double>(inputs.freshRates.size());
    const double totalWeight = std::accumulate(inputs.staleRates.begin(), inputs.staleRates.end(), freshWeight)
        + idleWeight * static_cast<double>(inputs.staleRates.size());

    double reserved = evenShare * static_cast<double>(vmCount - reportingVms);
    for (const double rate : inputs.staleRates) {
        reserved += std::max(evenShare, (rate + idleWeight) / totalWeight);
    }
    return std::max(0.0, 1.0 - reserved) * ownWeight / freshWeight;
}

} // namespace crocuslane
