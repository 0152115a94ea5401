#pragma once

#include "checkers.h"
#include "world.h"

namespace crocuslane {

/// One invariant: workload, faults, checker, and what its control switches off.
struct scenario {
    std::string name;
    violation_list (*check)(const history &);
    void (*switchOff)(world_controls &);
    std::size_t vms = 3;
    duration retention = std::chrono::seconds(60);
    std::size_t calls = 0;
    std::size_t questions = 0;
    bool republishes = false;
    bool withdraws = false;
    bool leaves = false;
    bool stops = false;
    /// Every third history has restarts of most VMs during a log outage in place of random faults.
    bool restartsInOutage = false;
    std::size_t maximumKills = 1;
    /// False for the extra rows that are no invariant of their own.
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

/// Runs the history of a seed and checks it. The same arguments give the same result.
history_result runHistory(const scenario &scenario, std::uint64_t seed, bool isControl);

} // namespace crocuslane
