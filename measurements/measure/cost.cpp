#include "measure/measurement.h"

#include "harness/version_simulation.h"

#include <fmt/core.h>

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

/// Largest cost relative to the best fixed assignment in hindsight.
constexpr double target = 1.10;
/// Largest cost relative to the best model, over the kinds that a cheaper version serves well enough.
constexpr double maximumShareOfBest = 0.5;
constexpr double requestsPerSecond = 30.0;

/// Request kinds of Rimal: few long reviews and many short questions, for which cheap versions mostly suffice.
std::vector<simulated_kind> makeKinds()
{
    return {{kind_id("species-check"), 0.70, 120, 20, 0.60},
            {kind_id("seedling-care"), 0.75, 300, 160, 0.34},
            {kind_id("survey-review"), 0.85, 2400, 1800, 0.06}};
}

double drawBetween(random_source &random, double low, double high)
{
    return low + (high - low) * random.unit();
}

std::vector<simulated_version> makeVersions(random_source &random)
{
    const auto answers = [&random](std::array<double, 3> low, std::array<double, 3> high, double emptyRate) {
        std::vector<answer_profile> byKind;
        for (std::size_t kind = 0; kind < low.size(); ++kind) {
            byKind.push_back({drawBetween(random, low[kind], high[kind]), emptyRate * random.unit(), 0.02});
        }
        return byKind;
    };
    std::vector<simulated_version> versions(3);
    versions[0] = {version_id("small@1"), 60, 240, 0.0, {}, answers({0.74, 0.60, 0.40}, {0.90, 0.86, 0.65}, 0.08)};
    versions[1] = {version_id("medium@1"), 250, 1000, 0.0, {}, answers({0.80, 0.78, 0.70}, {0.92, 0.90, 0.92}, 0.04)};
    versions[2] = {version_id("large@1"), 900, 3600, 0.0, {}, answers({0.90, 0.90, 0.90}, {0.96, 0.96, 0.96}, 0.01)};
    return versions;
}

struct outcome {
    double cost = 0.0;
    std::vector<double> costByKind;
    /// Mean true rating minus the quality target, for the kind with the lowest value.
    double qualityMargin = 0.0;
    /// The same with the lower 95% confidence bound of the given ratings instead of the true mean.
    double ratedMargin = 0.0;
};

using policy_maker = std::function<version_simulation::policy(version_simulation &)>;

struct kind_sums {
    double count = 0.0;
    double quality = 0.0;
    double ratings = 0.0;
    double scores = 0.0;
    double squares = 0.0;
};

outcome runPolicy(const policy_maker &makePolicy, std::uint64_t seed, bool isQuick)
{
    seeded_random random(seed);
    version_simulation versionSimulation(makeKinds(), makeVersions(random), {}, seed);
    const version_simulation::policy choose = makePolicy(versionSimulation);
    const int learningRequests = isQuick ? 40'000 : 60'000;
    const int measuredRequests = isQuick ? 20'000 : 60'000;
    std::vector<kind_sums> sums(versionSimulation.kinds().size());
    outcome result;
    result.costByKind.resize(sums.size());
    bool isMeasuring = false;
    versionSimulation.onRating = [&](const answer_rating &rating) {
        for (std::size_t kind = 0; isMeasuring && kind < sums.size(); ++kind) {
            if (versionSimulation.kinds()[kind].id == rating.kind) {
                sums[kind].ratings += 1.0;
                sums[kind].scores += rating.score;
                sums[kind].squares += rating.score * rating.score;
            }
        }
    };
    const duration gap = fromSeconds(1.0 / requestsPerSecond);
    for (int request = 0; request < learningRequests + measuredRequests; ++request) {
        const simulated_answer answer = versionSimulation.serveNext(choose, gap);
        isMeasuring = request >= learningRequests;
        if (!isMeasuring) {
            continue;
        }
        result.cost += answer.cost / measuredRequests;
        result.costByKind[answer.kind] += answer.cost / measuredRequests;
        sums[answer.kind].count += 1.0;
        sums[answer.kind].quality += answer.quality;
    }
    result.qualityMargin = 1.0;
    result.ratedMargin = 1.0;
    for (std::size_t kind = 0; kind < sums.size(); ++kind) {
        const double qualityTarget = versionSimulation.kinds()[kind].qualityTarget;
        const kind_sums &kindSums = sums[kind];
        result.qualityMargin = std::min(result.qualityMargin, kindSums.quality / kindSums.count - qualityTarget);
        const double average = kindSums.scores / kindSums.ratings;
        const double variance = std::max(0.0, kindSums.squares / kindSums.ratings - average * average);
        const double lower = average - 1.645 * std::sqrt(variance / kindSums.ratings);
        result.ratedMargin = std::min(result.ratedMargin, lower - qualityTarget);
    }
    return result;
}

/// Cheapest single version per kind whose true mean rating, empty answers included, meets the quality target.
policy_maker bestFixedAssignment()
{
    return [](version_simulation &versionSimulation) -> version_simulation::policy {
        std::map<kind_id, version_id> assignment;
        for (std::size_t kind = 0; kind < versionSimulation.kinds().size(); ++kind) {
            for (const simulated_version &version : versionSimulation.versions()) {
                const answer_profile &answer = version.byKind[kind];
                const double quality = answer.quality * (1.0 - answer.emptyRate);
                assignment[versionSimulation.kinds()[kind].id] = version.id;
                if (quality >= versionSimulation.kinds()[kind].qualityTarget) {
                    break;
                }
            }
        }
        return [assignment](const model_request &request) { return std::vector{assignment.at(request.kind)}; };
    };
}

policy_maker fixedOrder(const std::vector<version_id> &order)
{
    return [order](version_simulation & /*versionSimulation*/) -> version_simulation::policy {
        return [order](const model_request & /*request*/) { return order; };
    };
}

/// Cost relative to the best model, over the kinds that a cheaper version serves in hindsight; empty without such
/// kinds.
std::optional<double> shareWhereCheapSuffices(const outcome &evaluated, const outcome &hindsight, const outcome &best)
{
    double cost = 0.0;
    double bestCost = 0.0;
    for (std::size_t kind = 0; kind < evaluated.costByKind.size(); ++kind) {
        if (hindsight.costByKind[kind] < 0.9 * best.costByKind[kind]) {
            cost += evaluated.costByKind[kind];
            bestCost += best.costByKind[kind];
        }
    }
    return bestCost > 0.0 ? std::optional(cost / bestCost) : std::nullopt;
}

measure_result measure(const measure_options &options)
{
    const std::vector<std::pair<std::string, policy_maker>> policies = {
        {"product", [](version_simulation &versionSimulation) { return versionSimulation.productPolicy(); }},
        {"best fixed in hindsight", bestFixedAssignment()},
        {"always the best model", fixedOrder({version_id("large@1")})},
        {"fixed cascade (first version)",
         fixedOrder({version_id("small@1"), version_id("medium@1"), version_id("large@1")})}};
    const std::vector<std::uint64_t> seeds = options.seeds(20, 5);
    std::map<std::string, std::vector<outcome>> outcomes;
    for (const auto &[name, maker] : policies) {
        for (const std::uint64_t seed : seeds) {
            outcomes[name].push_back(runPolicy(maker, seed, options.isQuick));
        }
    }
    report_table table("cost", {"cost vs hindsight", "cost vs best model", "true margin", "rated margin"});
    std::vector<double> ratios;
    std::vector<double> shares;
    measure_result result{"cost", 0.0, target, {}};
    for (const auto &[name, maker] : policies) {
        std::vector<std::vector<double>> figures(4);
        for (std::size_t index = 0; index < seeds.size(); ++index) {
            const outcome &evaluated = outcomes[name][index];
            figures[0].push_back(evaluated.cost / outcomes["best fixed in hindsight"][index].cost);
            figures[1].push_back(evaluated.cost / outcomes["always the best model"][index].cost);
            figures[2].push_back(evaluated.qualityMargin);
            figures[3].push_back(evaluated.ratedMargin);
            if (name == "product" && evaluated.qualityMargin < 0.0) {
                result.missed.push_back("quality target missed, seed " + std::to_string(seeds[index]));
            }
        }
        if (name == "product") {
            ratios = figures[0];
        }
        table.addRow(name, figures);
    }
    table.print();
    if (options.isPlotting) {
        table.plot();
    }
    result.ratio = spreadOf(ratios).median;
    for (std::size_t index = 0; index < seeds.size(); ++index) {
        const std::optional<double> share = shareWhereCheapSuffices(outcomes["product"][index],
                                                                    outcomes["best fixed in hindsight"][index],
                                                                    outcomes["always the best model"][index]);
        if (share) {
            shares.push_back(*share);
        }
    }
    fmt::print("cost where a cheaper version suffices, vs best model: median {:.3f} max {:.3f} target {}\n",
               spreadOf(shares).median,
               spreadOf(shares).maximum,
               maximumShareOfBest);
    if (spreadOf(shares).median >= maximumShareOfBest) {
        result.missed.push_back("cost not under half of always the best model");
    }
    return result;
}

const measurement_registrar registrar("cost", &measure);

} // namespace

} // namespace crocuslane
