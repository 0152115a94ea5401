#include "plugins/versions/version_selector.h"

#include <algorithm>

namespace crocuslane {

namespace {

// With fewer ratings, the confidence bounds depend on the prior more than on the answers.
constexpr double minimumQualifyingRatings = 25.0;
// Quality assumed for a version without ratings, whose answers may be useless.
constexpr double pessimisticQuality = 0.2;
constexpr double maximumExplorationShare = 0.50;
// Used while no version is known to meet the target: ratings of further versions are then worth more than the quality
// of the few answers concerned.
constexpr double unqualifiedExplorationShare = 0.05;
// Share of requests that keep the estimates of versions below the target up to date.
constexpr double recheckShare = 0.002;

/// Expected cost and confidence bounds of the quality when a request starts at one version and a weak answer is
/// escalated to the next.
struct plan {
    double cost = 0.0;
    double lowerQuality = 0.0;
    double upperQuality = 0.0;
};

plan planFrom(const std::vector<version_option> &options, std::size_t first)
{
    const version_option &start = options[first];
    if (first + 1 == options.size()) {
        return {start.cost, start.quality.lower * (1.0 - start.weakRate), start.quality.upper};
    }
    const version_option &next = options[first + 1];
    const double weakRate = start.weakRate;
    return {start.cost + weakRate * next.cost,
            start.quality.lower * (1.0 - weakRate) + next.quality.lower * weakRate,
            start.quality.upper * (1.0 - weakRate) + next.quality.upper * weakRate};
}

bool isQualified(const std::vector<version_option> &options, std::size_t first, double qualityTarget)
{
    return options[first].quality.count >= minimumQualifyingRatings
        && planFrom(options, first).lowerQuality >= qualityTarget;
}

} // namespace

version_selector::version_selector(random_source &random)
    : m_random(random)
{
}

std::vector<version_id> version_selector::order(std::vector<version_option> options, double qualityTarget)
{
    std::stable_sort(options.begin(), options.end(), [](const version_option &left, const version_option &right) {
        return left.cost < right.cost;
    });
    // While no version is known to meet the target, the most expensive one is the safest choice.
    std::size_t first = options.size() - 1;
    double lowestCost = -1.0;
    for (std::size_t index = 0; index < options.size(); ++index) {
        if (!isQualified(options, index, qualityTarget)) {
            continue;
        }
        const double cost = planFrom(options, index).cost;
        if (lowestCost < 0.0 || cost < lowestCost) {
            lowestCost = cost;
            first = index;
        }
    }
    first = explore(options, first, qualityTarget).value_or(first);
    std::vector<version_id> ordered;
    for (std::size_t index = first; index < options.size(); ++index) {
        ordered.push_back(options[index].version);
    }
    return ordered;
}

std::optional<std::size_t>
version_selector::explore(const std::vector<version_option> &options, std::size_t first, double qualityTarget)
{
    std::optional<std::size_t> uncertain;
    std::optional<std::size_t> belowTarget;
    for (std::size_t index = 0; index < options.size(); ++index) {
        if (index == first || planFrom(options, index).cost >= planFrom(options, first).cost) {
            continue;
        }
        if (planFrom(options, index).upperQuality < qualityTarget) {
            belowTarget = index;
        } else if (!uncertain || options[index].quality.count < options[*uncertain].quality.count) {
            uncertain = index;
        }
    }
    const double draw = m_random.unit();
    if (uncertain) {
        const double lowerQuality = planFrom(options, first).lowerQuality;
        const double assumedQuality = std::max(pessimisticQuality, options[*uncertain].quality.lower);
        double share = unqualifiedExplorationShare;
        if (isQualified(options, first, qualityTarget) && lowerQuality > assumedQuality) {
            // With this share the mean quality of both still meets the target, even if the uncertain version has only
            // the assumed quality.
            share = std::min(maximumExplorationShare, (lowerQuality - qualityTarget) / (lowerQuality - assumedQuality));
        }
        if (draw < share) {
            return uncertain;
        }
        return std::nullopt;
    }
    if (belowTarget && draw < recheckShare) {
        return belowTarget;
    }
    return std::nullopt;
}

} // namespace crocuslane
