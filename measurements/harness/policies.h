#pragma once

#include "harness/baseline_pickers.h"
#include "harness/report.h"
#include "harness/simulation.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace crocuslane {

/// A way of choosing runners, as one row of a table.
struct policy {
    std::string name;
    plugin_setup setup;
};

inline const version_id onlyVersion{"small@1"};

policy productPolicy(const workload_parameters &workload);
policy baselinePolicy(const workload_parameters &workload, std::string name, const baseline_options &options);
/// The product first. A quick run has one baseline only, to stay within its time.
std::vector<policy> allPolicies(const workload_parameters &workload, const measure_options &options);
/// Round robin, least reported load and two random choices.
std::vector<policy> baselinePolicies(const workload_parameters &workload);

/// Runs @p measure for each seed, a few at a time on threads; results are in the order of the seeds.
std::vector<std::vector<double>> measureSeeds(const std::vector<std::uint64_t> &seeds,
                                              const std::function<std::vector<double>(std::uint64_t seed)> &measure);

} // namespace crocuslane
