#include "measure/measurement.h"

#include "harness/policies.h"

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

/// Largest p99 of short requests with long ones, relative to that without.
constexpr double target = 1.25;
constexpr double maximumThroughputLoss = 0.10;
/// Mean share of the slots in use, in the run whose ratio is reported.
constexpr double reportedUtilization = 0.9;
constexpr std::chrono::seconds warmUpTime{20};
constexpr std::chrono::seconds drainTime{60};
/// Latency that a request without an answer counts as.
constexpr double unansweredSeconds = 60.0;

struct figures {
    double shortP99 = 0.0;
    double longTokensPerSecond = 0.0;
};

figures measureRun(const deployment_parameters &deployment,
                   const workload_parameters &workload,
                   const policy &policy,
                   bool hasLong,
                   std::uint64_t seed)
{
    std::vector<simulated_request> requests = makeWorkload(workload, deployment, seed);
    if (!hasLong) {
        std::erase_if(requests, [&workload](const auto &request) { return workload.kinds[request.kind].isLong; });
    }
    simulation run(deployment, workload, policy.setup, seed);
    run.run(requests, workload.length + drainTime);
    const auto isShort = [](const request_outcome &answer) { return answer.kind == 0 && answer.arrival >= warmUpTime; };
    figures result;
    result.shortP99 = quantile(latencies(run, isShort, unansweredSeconds), 0.99);
    for (const request_outcome &answer : run.outcomes()) {
        const bool isInTime = answer.end && answer.arrival + *answer.end <= workload.length;
        if (workload.kinds[answer.kind].isLong && isInTime) {
            result.longTokensPerSecond += answer.tokens / toSeconds(workload.length);
        }
    }
    return result;
}

struct load_result {
    double productRatio = 0.0;
    bool isLongWithinLoss = true;
};

load_result measureLoad(const deployment_parameters &deployment,
                        workload_parameters workload,
                        double share,
                        const measure_options &options)
{
    setUtilization(workload, deployment, share);
    workload.length = options.isQuick ? std::chrono::seconds(60) : std::chrono::seconds(120);
    report_table table("blocking-" + deployment.name + "-" + std::to_string(std::lround(100.0 * share)),
                       {"short p99 ratio", "short p99 ms", "without long ms", "long tokens/s"});
    const std::vector<policy> policies = allPolicies(workload, options);
    load_result result;
    double productLong = 0.0;
    double bestLong = 0.0;
    for (const policy &policy : policies) {
        const auto rows = measureSeeds(options.seeds(20, 2), [&](std::uint64_t seed) {
            const figures with = measureRun(deployment, workload, policy, true, seed);
            const figures without = measureRun(deployment, workload, policy, false, seed);
            return std::vector{with.shortP99 / without.shortP99,
                               with.shortP99 * 1000.0,
                               without.shortP99 * 1000.0,
                               with.longTokensPerSecond};
        });
        table.addRow(policy.name, rows);
        const double longTokens = spreadOf(rows[3]).median;
        bestLong = std::max(bestLong, longTokens);
        if (policy.name == "product") {
            result.productRatio = spreadOf(rows[0]).median;
            productLong = longTokens;
        }
    }
    table.print();
    if (options.isPlotting) {
        table.plot();
    }
    result.isLongWithinLoss = productLong >= (1.0 - maximumThroughputLoss) * bestLong;
    return result;
}

measure_result measureBlocking(const measure_options &options)
{
    measure_result result{"blocking", 0.0, target, {}};
    const std::vector<double> shares =
        options.isQuick ? std::vector{reportedUtilization} : std::vector{0.6, reportedUtilization, 1.1};
    for (const auto &[deployment, workload] :
         {std::pair(rimalDeployment(), rimalWorkload()), std::pair(ironworksDeployment(), ironworksWorkload())}) {
        for (const double share : shares) {
            const load_result measured = measureLoad(deployment, workload, share, options);
            if (share == reportedUtilization) {
                result.ratio = std::max(result.ratio, measured.productRatio);
            }
            const std::string where =
                deployment.name + " at load " + std::to_string(std::lround(100.0 * share)) + "%: ";
            if (measured.productRatio > target) {
                result.missed.push_back(where + "ratio over the target");
            }
            if (!measured.isLongWithinLoss) {
                result.missed.push_back(where + "throughput of long requests more than 10% below the best policy");
            }
        }
    }
    return result;
}

const measurement_registrar autoRegistrar("blocking", measureBlocking);

} // namespace

} // namespace crocuslane
