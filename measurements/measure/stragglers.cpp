#include "measure/measurement.h"

#include "harness/policies.h"

#include <algorithm>

namespace crocuslane {

namespace {

/// Largest p99 of short requests with slow runners, relative to that without.
constexpr double target = 1.5;
constexpr double maximumExtraWorkShare = 0.05;
constexpr double utilization = 0.5;
constexpr double slowFactor = 5.0;
/// In each interval a newly drawn set of runners is slow for slowPeriodLength.
constexpr std::chrono::seconds slowPeriodInterval{10};
constexpr std::chrono::seconds slowPeriodLength{4};
constexpr std::chrono::seconds warmUpTime{20};
constexpr std::chrono::seconds drainTime{60};
/// Latency that a request without an answer counts as.
constexpr double unansweredSeconds = 60.0;

void addSlowPeriods(simulation &run, duration length, unsigned slowRunners, std::uint64_t seed)
{
    seeded_random random(seed + 7777);
    const steady_time start = manual_clock().steadyNow();
    for (duration from = warmUpTime; from < length; from += slowPeriodInterval) {
        std::vector<std::size_t> runners(run.runnerCount());
        for (std::size_t index = 0; index < runners.size(); ++index) {
            runners[index] = index;
        }
        for (unsigned count = 0; count < slowRunners; ++count) {
            const std::size_t drawn = random.below(runners.size());
            run.engine(runners[drawn]).addSlowPeriod(start + from, start + from + slowPeriodLength, slowFactor);
            runners.erase(runners.begin() + static_cast<std::ptrdiff_t>(drawn));
        }
    }
}

struct figures {
    double shortP99 = 0.0;
    double extra = 0.0;
};

figures measureRun(const deployment_parameters &deployment,
                   const workload_parameters &workload,
                   const policy &policy,
                   unsigned slowRunners,
                   std::uint64_t seed)
{
    const std::vector<simulated_request> requests = makeWorkload(workload, deployment, seed);
    simulation run(deployment, workload, policy.setup, seed);
    addSlowPeriods(run, workload.length, slowRunners, seed);
    run.run(requests, workload.length + drainTime);
    const auto isShort = [](const request_outcome &answer) { return answer.kind == 0 && answer.arrival >= warmUpTime; };
    return {quantile(latencies(run, isShort, unansweredSeconds), 0.99), extraWork(run)};
}

measure_result measureStragglers(const measure_options &options)
{
    measure_result result{"stragglers", 0.0, target, {}};
    struct scenario {
        deployment_parameters deployment;
        workload_parameters workload;
        unsigned slowRunners;
    };
    for (scenario scenario :
         {scenario{rimalDeployment(), rimalWorkload(), 2}, {ironworksDeployment(), ironworksWorkload(), 3}}) {
        setUtilization(scenario.workload, scenario.deployment, utilization);
        scenario.workload.length = options.isQuick ? std::chrono::seconds(60) : std::chrono::seconds(120);
        report_table table("stragglers-" + scenario.deployment.name,
                           {"short p99 ratio", "short p99 ms", "none slowed ms", "extra work"});
        std::vector<policy> policies = allPolicies(scenario.workload, options);
        if (!options.isProductOnly) {
            policies.push_back(
                baselinePolicy(scenario.workload, "random + hedging alone", {baseline_kind::two_random_choices, true}));
        }
        for (const policy &policy : policies) {
            const auto rows = measureSeeds(options.seeds(20, 2), [&](std::uint64_t seed) {
                const figures slowed =
                    measureRun(scenario.deployment, scenario.workload, policy, scenario.slowRunners, seed);
                const figures normal = measureRun(scenario.deployment, scenario.workload, policy, 0, seed);
                return std::vector{slowed.shortP99 / normal.shortP99,
                                   slowed.shortP99 * 1000.0,
                                   normal.shortP99 * 1000.0,
                                   slowed.extra};
            });
            table.addRow(policy.name, rows);
            if (policy.name == "product") {
                result.ratio = std::max(result.ratio, spreadOf(rows[0]).median);
                if (spreadOf(rows[3]).median > maximumExtraWorkShare) {
                    result.missed.push_back(scenario.deployment.name + ": more than 5% extra work");
                }
            }
        }
        table.print();
        if (options.isPlotting) {
            table.plot();
        }
    }
    if (result.ratio > target) {
        result.missed.push_back("short p99 ratio over the target");
    }
    return result;
}

const measurement_registrar autoRegistrar("stragglers", measureStragglers);

} // namespace

} // namespace crocuslane
