#include "harness/policies.h"

#include "harness/fixed_services.h"

#include <atomic>
#include <thread>

namespace crocuslane {

namespace {

constexpr unsigned maximumThreads = 4;

} // namespace

policy productPolicy(const workload_parameters &workload)
{
    return {"product", productSetup(workload, {onlyVersion})};
}

policy baselinePolicy(const workload_parameters &workload, std::string name, const baseline_options &options)
{
    return {std::move(name), [workload, options](kernel &target, std::size_t /*vm*/) {
                target.add(std::make_unique<fixed_services>(workload, std::vector{onlyVersion}));
                target.add(makeBaseline(options));
            }};
}

std::vector<policy> baselinePolicies(const workload_parameters &workload)
{
    return {baselinePolicy(workload, "round robin", {baseline_kind::round_robin}),
            baselinePolicy(workload, "least reported load", {baseline_kind::least_reported_load}),
            baselinePolicy(workload, "two random choices", {baseline_kind::two_random_choices})};
}

std::vector<policy> allPolicies(const workload_parameters &workload, const measure_options &options)
{
    std::vector<policy> policies{productPolicy(workload)};
    if (options.isProductOnly) {
        return policies;
    }
    if (options.isQuick) {
        policies.push_back(baselinePolicy(workload, "two random choices", {baseline_kind::two_random_choices}));
    } else {
        const std::vector<policy> baselines = baselinePolicies(workload);
        policies.insert(policies.end(), baselines.begin(), baselines.end());
    }
    return policies;
}

std::vector<std::vector<double>> measureSeeds(const std::vector<std::uint64_t> &seeds,
                                              const std::function<std::vector<double>(std::uint64_t seed)> &measure)
{
    std::vector<std::vector<double>> results(seeds.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> threads;
    for (unsigned thread = 0; thread < std::min<std::size_t>(maximumThreads, seeds.size()); ++thread) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < seeds.size(); index = next++) {
                results[index] = measure(seeds[index]);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    // Transposes from one row per seed to one row per figure.
    std::vector<std::vector<double>> figures(results.front().size());
    for (const std::vector<double> &result : results) {
        for (std::size_t figure = 0; figure < result.size(); ++figure) {
            figures[figure].push_back(result[figure]);
        }
    }
    return figures;
}

} // namespace crocuslane
