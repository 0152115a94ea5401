#include "plugins/admission/limit_share.h"

#include <algorithm>
#include <numeric>

namespace crocuslane {

namespace {

// A VM without demand keeps this part of its even share, so that its first requests find some.
constexpr double idlePart = 0.05;

} // namespace

double limitShare(const share_inputs &inputs)
{
    const std::size_t present = 1 + inputs.heardRates.size() + inputs.doubtfulRates.size();
    const std::size_t vmCount = std::max(inputs.vmCount, present);
    const double evenShare = 1.0 / static_cast<double>(vmCount);
    const double idleWeight = std::max(idlePart * inputs.limit * evenShare, 1e-6);

    const double ownWeight = inputs.ownRate + idleWeight;
    const double heardWeight = std::accumulate(inputs.heardRates.begin(), inputs.heardRates.end(), ownWeight)
        + idleWeight * static_cast<double>(inputs.heardRates.size());
    const double totalWeight = std::accumulate(inputs.doubtfulRates.begin(), inputs.doubtfulRates.end(), heardWeight)
        + idleWeight * static_cast<double>(inputs.doubtfulRates.size());

    double reserved = evenShare * static_cast<double>(vmCount - present);
    for (const double rate : inputs.doubtfulRates) {
        reserved += std::max(evenShare, (rate + idleWeight) / totalWeight);
    }
    return std::max(0.0, 1.0 - reserved) * ownWeight / heardWeight;
}

} // namespace crocuslane
