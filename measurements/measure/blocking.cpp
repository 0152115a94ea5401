#include "measure/measurement.h"

#include "harness/baseline_pickers.h"
#include "harness/fixed_services.h"
#include "harness/simulation.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr double target = 1.25;
constexpr double longestThroughputLoss = 0.10;
constexpr double utilization = 0.6;
constexpr std::chrono::seconds warmUp{20};
constexpr std::chrono::seconds drain{60};
/// Counted for a request that got no answer.
constexpr double missingSeconds = 60.0;

struct policy {
    std::string name;
    plugin_setup setup;
};

plugin_setup baselineSetup(const workload_parameters &workload, const baseline_options &options)
{
    return [workload, options](kernel &target, std::size_t /*vm*/) {
        target.add(std::make_unique<fixed_services>(workload, std::vector{version_id("small@1")}));
        target.add(makeBaseline(options));
    };
}

std::vector<policy> policies(const workload_parameters &workload)
{
    return {{"product", productSetup(workload, {version_id("small@1")})},
            {"round robin", baselineSetup(workload, {baseline_kind::round_robin})},
            {"least reported load", baselineSetup(workload, {baseline_kind::least_reported_load})},
            {"two random choices", baselineSetup(workload, {baseline_kind::two_random_choices})}};
}

struct figures {
    double shortP99 = 0.0;
    double longTokensPerSecond = 0.0;
};

figures measureRun(const deployment &deployment,
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
    run.run(requests, workload.length + drain);
    const auto isShort = [&workload](const request_outcome &answer) {
        return answer.kind == 0 && answer.arrival >= warmUp;
    };
    figures found;
    found.shortP99 = quantile(latencies(run, isShort, missingSeconds), 0.99);
    for (const request_outcome &answer : run.outcomes()) {
        const bool isInTime = answer.end && answer.arrival + *answer.end <= workload.length;
        if (workload.kinds[answer.kind].isLong && isInTime) {
            found.longTokensPerSecond += answer.tokens / toSeconds(workload.length);
        }
    }
    return found;
}

measure_result measureBlocking(const measure_options &options)
{
    measure_result result{"blocking", 0.0, target, {}};
    for (const auto &[deployment, mix] :
         {std::pair(rimalDeployment(), rimalWorkload()), std::pair(ironworksDeployment(), ironworksWorkload())}) {
        workload_parameters workload = mix;
        setUtilization(workload, deployment, utilization);
        workload.length = options.isQuick ? std::chrono::seconds(60) : std::chrono::seconds(120);
        report_table table("blocking-" + deployment.name,
                           {"short p99 ratio", "short p99 ms", "without long ms", "long tokens/s"});
        double productRatio = 0.0;
        double productLong = 0.0;
        double bestLong = 0.0;
        for (const policy &policy : policies(workload)) {
            std::vector<std::vector<double>> rows(4);
            for (const std::uint64_t seed : options.seeds(20, 2)) {
                const figures with = measureRun(deployment, workload, policy, true, seed);
                const figures without = measureRun(deployment, workload, policy, false, seed);
                rows[0].push_back(with.shortP99 / without.shortP99);
                rows[1].push_back(with.shortP99 * 1000.0);
                rows[2].push_back(without.shortP99 * 1000.0);
                rows[3].push_back(with.longTokensPerSecond);
            }
            table.addRow(policy.name, rows);
            const double longTokens = spreadOf(rows[3]).median;
            bestLong = std::max(bestLong, longTokens);
            if (policy.name == "product") {
                productRatio = spreadOf(rows[0]).median;
                productLong = longTokens;
            }
        }
        table.print();
        if (options.isPlotting) {
            table.plot();
        }
        result.ratio = std::max(result.ratio, productRatio);
        if (productLong < (1.0 - longestThroughputLoss) * bestLong) {
            result.missed.push_back(deployment.name + ": long requests lose more than 10% throughput");
        }
    }
    return result;
}

const measurement_registrar autoRegistrar("blocking", measureBlocking);

} // namespace

} // namespace crocuslane
