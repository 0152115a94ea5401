#pragma once

#include "enginemodel/engine_settings.h"
#include "kernel/types.h"

#include <vector>

namespace crocuslane {

/// Identity and location of an entry VM or a runner.
struct node_location {
    std::string id;
    std::string availabilityZone;
    std::string region;
};

/// Entry VMs and runners of one service, with the delays and intervals of their messages.
struct deployment_parameters {
    std::string name;
    service_id service;
    std::vector<node_location> vms;
    std::vector<node_location> runners;
    /// Applies to every runner, versions included.
    engine_settings engine;
    duration delayInRegion = std::chrono::milliseconds(1);
    duration delayBetweenRegions = std::chrono::milliseconds(30);
    duration loadInterval = std::chrono::milliseconds(500);
    duration cacheInterval = std::chrono::milliseconds(500);
    duration exchangeInterval = std::chrono::milliseconds(500);
    /// Delay until a VM receives the runner use of another VM; one exchange interval.
    duration exchangeDelay = std::chrono::milliseconds(500);
    /// Delay until the VM list shows that a runner went down or came back.
    duration vmListLag = std::chrono::seconds(5);
    /// Entry VMs get no prefix hashes, so they choose runners without regard to prefix caches.
    bool isCacheBlind = false;
};

/// Six entry VMs and nine runners in three availability zones, of which two are in the same region.
deployment_parameters rimalDeployment();
/// Six entry VMs and eighteen runners in three availability zones, of which two are in the same region.
deployment_parameters ironworksDeployment();

} // namespace crocuslane
