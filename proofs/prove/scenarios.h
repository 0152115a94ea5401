#pragma once

#include "checkers.h"
#include "simulated_deployment.h"

namespace crocuslane {

/// One invariant: its workload, faults, checker, and the mechanisms that its control disables.
struct scenario {
    std::string name;
    violation_list (*check)(const history &);
    void (*disableMechanisms)(deployment_controls &);
    std::size_t vms = 3;
    duration retention = std::chrono::seconds(60);
    std::size_t serviceCalls = 0;
    std::size_t modelRequests = 0;
    /// Operators publish new versions throughout the history.
    bool republishes = false;
    /// An operator withdraws a version.
    bool withdraws = false;
    /// A runner is marked as leaving.
    bool leaves = false;
    /// A VM is stopped as planned.
    bool stops = false;
    /// Every third history restarts most VMs during a log outage, instead of random faults.
    bool restartsInOutage = false;
    std::size_t maximumKills = 1;
    /// False for additional checks that are not counted as invariants.
    bool isInvariant = true;
};

const std::vector<scenario> &allScenarios();

struct history_result {
    violation_list violations;
    history observations;
    std::uint64_t events = 0;
    std::uint64_t faults = 0;
    std::uint64_t answers = 0;
};

/// Runs the history of a seed and checks it. With @p isControl, the scenario's mechanisms are disabled. The same
/// arguments give the same result.
history_result runHistory(const scenario &scenario, std::uint64_t seed, bool isControl);

} // namespace crocuslane
