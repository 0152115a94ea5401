#pragma once

#include <cstddef>
#include <vector>

namespace crocuslane {

/// Inputs for the share of one entry VM in the limit of a caller group. Rates are in requests per second.
struct share_inputs {
    double limit = 0.0;
    /// Number of entry VMs in the VM list, this one included.
    std::size_t vmCount = 1;
    double ownRate = 0.0;
    /// Rates of the other VMs whose demand is fresh.
    std::vector<double> freshRates;
    /// Last rates of other VMs that became silent recently and may not have reduced their shares yet.
    std::vector<double> staleRates;
};

/// Part of the limit that this VM may use, 0 to 1.
///
/// Shares of VMs that receive each other's demand add up to at most 1. A VM without contact is left its even share,
/// 1 / vmCount, which is also what it uses while it receives no demand from any other VM.
double limitShare(const share_inputs &inputs);

} // namespace crocuslane
