#pragma once

#include <cstddef>
#include <vector>

namespace crocuslane {

/// What the share of one entry VM in a caller group's limit depends on. Rates are requests per second.
struct share_inputs {
    double limit = 0.0;
    /// Entry VMs of the VM list, this one included.
    std::size_t vmCount = 1;
    double ownRate = 0.0;
    /// Rates of the other VMs that are heard.
    std::vector<double> heardRates;
    /// Last rates of other VMs that fell silent so lately that they may not know it yet.
    std::vector<double> doubtfulRates;
};

/// Part of the limit that this VM may use, 0 to 1. Shares of VMs that hear each other add up to at most 1. A VM that is
/// not heard is left its even part, 1 / vmCount, which is what it takes when it hears nobody.
double limitShare(const share_inputs &inputs);

} // namespace crocuslane
