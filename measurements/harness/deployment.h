#pragma once

#include "enginemodel/engine_settings.h"
#include "kernel/types.h"

#include <vector>

namespace crocuslane {

struct place {
    std::string id;
    std::string availabilityZone;
    std::string region;
};

/// Entry VMs and runners of one service, and how their messages travel.
struct deployment {
    std::string name;
    service_id service;
    std::vector<place> vms;
    std::vector<place> runners;
    /// For every runner; versions included.
    engine_settings engine;
    duration delayInRegion = std::chrono::milliseconds(1);
    duration delayBetweenRegions = std::chrono::milliseconds(30);
    duration loadInterval = std::chrono::milliseconds(500);
    duration cacheInterval = std::chrono::milliseconds(500);
    duration exchangeInterval = std::chrono::milliseconds(500);
    /// Age of what a VM hears of another VM's use: one exchange.
    duration exchangeDelay = std::chrono::milliseconds(500);
    duration vmListLag = std::chrono::seconds(5);
    /// The routers get no prefix hashes, so that they place requests without regard to caches.
    bool isCacheBlind = false;
};

/// Six entry VMs and nine runners in three availability zones, of which two are in the same region.
deployment rimalDeployment();
/// Six entry VMs and eighteen runners in three availability zones, of which two are in the same region.
deployment ironworksDeployment();

} // namespace crocuslane
