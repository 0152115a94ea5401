#include "measure/measurement.h"

#include "harness/version_world.h"

#include <fmt/core.h>

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

constexpr double target = 1.10;
constexpr double largestShareOfBest = 0.5;
constexpr double requestsPerSecond = 30.0;

/// The kinds of Rimal: few long reviews, and many short questions for which cheap versions mostly suffice.
std::vector<world_kind> makeKinds()
{
    return {{kind_id("species-check"), 0.70, 120, 20, 0.60},
            {kind_id("seedling-care"), 0.75, 300, 160, 0.34},
            {kind_id("survey-review"), 0.85, 2400, 1800, 0.06}};
}

double drawBetween(random_source &random, double low, double high)
{
    return low + (high - low) * random.unit();
}

std::vector<world_version> makeVersions(random_source &random)
{
    const auto answers = [&random](std::array<double, 3> low, std::array<double, 3> high, double weakRate) {
        std::vector<true_answer> byKind;
        for (std::size_t kind = 0; kind < low.size(); ++kind) {
            byKind.push_back({drawBetween(random, low[kind], high[kind]), weakRate * random.unit(), 0.02});
        }
        return byKind;
    };
    std::vector<world_version> versions(3);
    versions[0] = {version_id("small@1"), 60, 240, 0.0, {}, answers({0.74, 0.60, 0.40}, {0.90, 0.86, 0.65}, 0.08)};
    versions[1] = {version_id("medium@1"), 250, 1000, 0.0, {}, answers({0.80, 0.78, 0.70}, {0.92, 0.90, 0.92}, 0.04)};
    versions[2] = {version_id("large@1"), 900, 3600, 0.0, {}, answers({0.90, 0.90, 0.90}, {0.96, 0.96, 0.96}, 0.01)};
    return versions;
}

struct outcome {
    double cost = 0.0;
    std::vector<double> costByKind;
    /// Mean true rating minus target, of the kind where it is lowest.
    double qualityMargin = 0.0;
    /// The same for the lower 95% confidence bound of the ratings that were given.
    double ratedMargin = 0.0;
};

using policy_maker = std::function<version_world::policy(version_world &)>;

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
    version_world world(makeKinds(), makeVersions(random), {}, seed);
    const version_world::policy choose = makePolicy(world);
    const int learning = isQuick ? 40'000 : 60'000;
    const int measured = isQuick ? 20'000 : 60'000;
    std::vector<kind_sums> sums(world.kinds().size());
    outcome result;
    result.costByKind.resize(sums.size());
    bool isMeasuring = false;
    world.onRating = [&](const answer_rating &rating) {
        for (std::size_t kind = 0; isMeasuring && kind < sums.size(); ++kind) {
            if (world.kinds()[kind].id == rating.kind) {
                sums[kind].ratings += 1.0;
                sums[kind].scores += rating.score;
                sums[kind].squares += rating.score * rating.score;
            }
        }
    };
    const duration gap = fromSeconds(1.0 / requestsPerSecond);
    for (int request = 0; request < learning + measured; ++request) {
        const world_answer answer = world.serveNext(choose, gap);
        isMeasuring = request >= learning;
        if (!isMeasuring) {
            continue;
        }
        result.cost += answer.cost / measured;
        result.costByKind[answer.kind] += answer.cost / measured;
        sums[answer.kind].count += 1.0;
        sums[answer.kind].quality += answer.quality;
    }
    result.qualityMargin = 1.0;
    result.ratedMargin = 1.0;
    for (std::size_t kind = 0; kind < sums.size(); ++kind) {
        const double qualityTarget = world.kinds()[kind].qualityTarget;
        const kind_sums &of = sums[kind];
        result.qualityMargin = std::min(result.qualityMargin, of.quality / of.count - qualityTarget);
        const double average = of.scores / of.ratings;
        const double variance = std::max(0.0, of.squares / of.ratings - average * average);
        const double lower = average - 1.645 * std::sqrt(variance / of.ratings);
        result.ratedMargin = std::min(result.ratedMargin, lower - qualityTarget);
    }
    return result;
}

/// Cheapest single version per kind whose true answers meet the target, weak ones included.
policy_maker bestFixedAssignment()
{
    return [](version_world &world) -> version_world::policy {
        std::map<kind_id, version_id> assignment;
        for (std::size_t kind = 0; kind < world.kinds().size(); ++kind) {
            for (const world_version &version : world.versions()) {
                const true_answer &answer = version.byKind[kind];
                const double quality = answer.quality * (1.0 - answer.weakRate);
                assignment[world.kinds()[kind].id] = version.id;
                if (quality >= world.kinds()[kind].qualityTarget) {
                    break;
                }
            }
        }
        return [assignment](const model_request &request) { return std::vector{assignment.at(request.kind)}; };
    };
}

policy_maker fixedOrder(const std::vector<version_id> &order)
{
    return [order](version_world & /*world*/) -> version_world::policy {
        return [order](const model_request & /*request*/) { return order; };
    };
}

/// Cost against the best model's over the kinds that a cheaper version serves in hindsight; nothing without such kinds.
std::optional<double> shareWhereCheapSuffices(const outcome &own, const outcome &hindsight, const outcome &best)
{
    double cost = 0.0;
    double bestCost = 0.0;
    for (std::size_t kind = 0; kind < own.costByKind.size(); ++kind) {
        if (hindsight.costByKind[kind] < 0.9 * best.costByKind[kind]) {
            cost += own.costByKind[kind];
            bestCost += best.costByKind[kind];
        }
    }
    return bestCost > 0.0 ? std::optional(cost / bestCost) : std::nullopt;
}

measure_result measure(const measure_options &options)
{
    const std::vector<std::pair<std::string, policy_maker>> policies = {
        {"product", [](version_world &world) { return world.productPolicy(); }},
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
            const outcome &own = outcomes[name][index];
            figures[0].push_back(own.cost / outcomes["best fixed in hindsight"][index].cost);
            figures[1].push_back(own.cost / outcomes["always the best model"][index].cost);
            figures[2].push_back(own.qualityMargin);
            figures[3].push_back(own.ratedMargin);
            if (name == "product" && own.qualityMargin < 0.0) {
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
               largestShareOfBest);
    if (spreadOf(shares).median >= largestShareOfBest) {
        result.missed.push_back("cost not under half of always the best model");
    }
    return result;
}

const measurement_registrar registrar("cost", &measure);

} // namespace

} // namespace crocuslane
