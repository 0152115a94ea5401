#include "measure/measurement.h"

#include "harness/policies.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr double target = 0.9;
constexpr double loadShare = 0.6;
/// Follow-up questions, whose prefix is the whole conversation so far.
constexpr double continuationShare = 0.6;
/// Too small for all conversations, so that prefixes are evicted.
constexpr std::uint32_t cacheBlocks = 1024;
constexpr double eventLoss = 0.1;
constexpr std::chrono::milliseconds exactInterval{20};
constexpr std::chrono::seconds drain{40};
constexpr double missingSeconds = 40.0;

struct variant {
    std::string name;
    deployment place;
};

std::vector<variant> variants(const deployment &base, bool isProductOnly)
{
    deployment late = base;
    late.engine.cacheBlocks = cacheBlocks;
    late.engine.cacheEventLoss = eventLoss;
    deployment exact = late;
    exact.engine.cacheEventLoss = 0.0;
    exact.engine.cacheEventDelay = duration::zero();
    exact.cacheInterval = exactInterval;
    deployment blind = late;
    blind.isCacheBlind = true;
    std::vector<variant> all{{"knows every cache", exact}, {"product", late}};
    if (!isProductOnly) {
        all.push_back({"cache-blind", blind});
    }
    return all;
}

std::vector<double> measureRun(const deployment &place, const workload_parameters &workload, std::uint64_t seed)
{
    const std::vector<simulated_request> requests = makeWorkload(workload, place, seed);
    simulation run(place, workload, productSetup(workload, {onlyVersion}), seed);
    run.run(requests, workload.length + drain);
    double cached = 0.0;
    double read = 0.0;
    for (std::size_t runner = 0; runner < run.runnerCount(); ++runner) {
        const engine_totals &totals = run.engine(runner).totals();
        cached += static_cast<double>(totals.cachedTokens);
        read += static_cast<double>(totals.prefilledTokens);
    }
    std::vector<double> firstTokens;
    for (const request_outcome &answer : run.outcomes()) {
        firstTokens.push_back(answer.firstToken ? toSeconds(*answer.firstToken) * 1000.0 : missingSeconds * 1000.0);
    }
    return {cached / (cached + read),
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
        setUtilization(workload, base, loadShare);
        report_table table("latency-" + base.name,
                           {"hit rate", "first token p50 ms", "first token p95 ms", "regional link KB/s"});
        double exactRate = 0.0;
        for (const variant &variant : variants(base, options.isProductOnly)) {
            const auto rows = measureSeeds(options.seeds(20, 2), [&, &workload = workload](std::uint64_t seed) {
                return measureRun(variant.place, workload, seed);
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
        result.missed.push_back("hit rate below the target share of a placement that knows every cache");
    }
    return result;
}

const measurement_registrar autoRegistrar("latency", measureLatency);

} // namespace

} // namespace crocuslane
