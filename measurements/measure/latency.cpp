#include "measure/measurement.h"

#include "harness/policies.h"

#include <algorithm>

namespace crocuslane {

namespace {

/// Smallest cache hit rate relative to a router with exact and immediate cache events.
constexpr double target = 0.9;
constexpr double utilization = 0.6;
/// Follow-up questions, whose prefix is the whole conversation so far.
constexpr double continuationShare = 0.6;
/// Too small for all conversations, so that prefixes are evicted.
constexpr std::uint32_t cacheBlocks = 1024;
constexpr double eventLoss = 0.1;
/// Interval between reads of cache events for the variant with exact events.
constexpr std::chrono::milliseconds exactInterval{20};
constexpr std::chrono::seconds drainTime{40};
/// First-token time that a request without a first token counts as.
constexpr double unansweredSeconds = 40.0;

struct variant {
    std::string name;
    deployment_parameters deployment;
};

std::vector<variant> variants(const deployment_parameters &base, bool isProductOnly)
{
    deployment_parameters delayedEvents = base;
    delayedEvents.engine.cacheBlocks = cacheBlocks;
    delayedEvents.engine.cacheEventLoss = eventLoss;
    deployment_parameters exactEvents = delayedEvents;
    exactEvents.engine.cacheEventLoss = 0.0;
    exactEvents.engine.cacheEventDelay = duration::zero();
    exactEvents.cacheInterval = exactInterval;
    deployment_parameters cacheBlind = delayedEvents;
    cacheBlind.isCacheBlind = true;
    std::vector<variant> all{{"knows every cache", exactEvents}, {"product", delayedEvents}};
    if (!isProductOnly) {
        all.push_back({"cache-blind", cacheBlind});
    }
    return all;
}

std::vector<double>
measureRun(const deployment_parameters &deployment, const workload_parameters &workload, std::uint64_t seed)
{
    const std::vector<simulated_request> requests = makeWorkload(workload, deployment, seed);
    simulation run(deployment, workload, productSetup(workload, {onlyVersion}), seed);
    run.run(requests, workload.length + drainTime);
    double cached = 0.0;
    double prefilled = 0.0;
    for (std::size_t runner = 0; runner < run.runnerCount(); ++runner) {
        const engine_totals &totals = run.engine(runner).totals();
        cached += static_cast<double>(totals.cachedTokens);
        prefilled += static_cast<double>(totals.prefilledTokens);
    }
    std::vector<double> firstTokens;
    for (const request_outcome &answer : run.outcomes()) {
        firstTokens.push_back(answer.firstToken ? toSeconds(*answer.firstToken) * 1000.0 : unansweredSeconds * 1000.0);
    }
    return {cached / (cached + prefilled),
            quantile(firstTokens, 0.5),
            quantile(firstTokens, 0.95),
            static_cast<double>(run.bytesBetweenRegions()) / 1000.0 / toSeconds(workload.length)};
}

measure_result measureLatency(const measure_options &options)
{
    measure_result result{"latency", 1.0, target, {}};
    for (auto [base, workload] :
         {std::pair(rimalDeployment(), rimalWorkload()), std::pair(ironworksDeployment(), ironworksWorkload())}) {
        workload.continuationShare = continuationShare;
        workload.length = options.isQuick ? std::chrono::seconds(60) : std::chrono::seconds(120);
        setUtilization(workload, base, utilization);
        report_table table("latency-" + base.name,
                           {"hit rate", "first token p50 ms", "first token p95 ms", "regional link KB/s"});
        double exactRate = 0.0;
        for (const variant &variant : variants(base, options.isProductOnly)) {
            const auto rows = measureSeeds(options.seeds(20, 2), [&, &workload = workload](std::uint64_t seed) {
                return measureRun(variant.deployment, workload, seed);
            });
            table.addRow(variant.name, rows);
            const double rate = spreadOf(rows[0]).median;
            exactRate = exactRate > 0.0 ? exactRate : rate;
            if (variant.name == "product") {
                result.ratio = std::min(result.ratio, rate / exactRate);
            }
        }
        table.print();
        if (options.isPlotting) {
            table.plot();
        }
    }
    if (result.ratio < target) {
        result.missed.push_back("hit rate below the target share of the rate with exact cache events");
    }
    return result;
}

const measurement_registrar autoRegistrar("latency", measureLatency);

} // namespace

} // namespace crocuslane
