#pragma once

#include "harness/baseline_pickers.h"
#include "harness/report.h"
#include "harness/simulation.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace crocuslane {

/// A named way of choosing runners; one row of a table.
struct policy {
    std::string name;
    plugin_setup setup;
};

inline const version_id onlyVersion{"small@1"};

/// The router's own plug-in routing.
policy productPolicy(const workload_parameters &workload);
policy baselinePolicy(const workload_parameters &workload, std::string name, const baseline_options &options);
/// The product first, then the baselines. A quick run has only one baseline, to keep it short.
std::vector<policy> allPolicies(const workload_parameters &workload, const measure_options &options);
/// Round robin, least reported load and two random choices.
std::vector<policy> baselinePolicies(const workload_parameters &workload);

/// Runs @p measure for each seed on a few threads. Returns one row per figure, with a value per seed in the order of
/// @p seeds.
std::vector<std::vector<double>> measureSeeds(const std::vector<std::uint64_t> &seeds,
                                              const std::function<std::vector<double>(std::uint64_t seed)> &measure);

} // namespace crocuslane
