#pragma once

#include "plugins/backends/backend_selector.h"

#include <cstdint>

namespace crocuslane {

/// Size and pace of a simulated deployment.
struct simulated_deployment {
    unsigned vms = 87;
    unsigned runners = 90;
    /// How often each VM reports its counts to the others, and how long a report takes.
    double exchangeSeconds = 2.0;
    double transitSeconds = 1.0;
    double seconds = 30.0;
    double requestsPerRunner = 2.6;
    /// Half of the runners are in another region when true.
    /// Each VM sends to this share of the runners only, always the same.
    double subsetShare = 1.0;
};

struct simulated_result {
    /// Busiest runner to mean, of the requests in progress over windows of 1 s.
    double imbalance = 0.0;
    /// The same over the whole time.
    double totalImbalance = 0.0;
    /// Requests that reached a runner whose slots were all in use.
    unsigned refused = 0;
    unsigned requests = 0;
    double meanDelayMilliseconds = 0.0;
    /// Prompt tokens that runners had cached, and requests served in another zone or region.
    double cachedShare = 0.0;
    double otherZoneShare = 0.0;
    double otherRegionShare = 0.0;
};

/// Plays requests at many VMs against model runners, without a network: each VM knows its own requests, what runners
/// report in answers, and old counts of the other VMs.
simulated_result simulateLoad(const simulated_deployment &deployment, const selection_rules &rules, std::uint64_t seed);

} // namespace crocuslane
