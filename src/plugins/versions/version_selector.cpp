#include "plugins/versions/version_selector.h"

#include <algorithm>

namespace crocuslane {

namespace {

// Confidence bounds of fewer ratings rest on the prior more than on the answers.
constexpr double ratingsToQualify = 25.0;
// Of a version without ratings nothing better is known than that an answer may be useless.
constexpr double pessimisticQuality = 0.2;
constexpr double highestExplorationShare = 0.50;
// While no version is known to meet the target, learning is worth more than the few answers that it may spoil.
constexpr double unqualifiedExplorationShare = 0.05;
// Keeps the estimates of versions that failed the target from going stale.
constexpr double recheckShare = 0.002;

/// Expected cost and sure quality of starting at one version and escalating weak answers to the next.
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
    const double weak = start.weakRate;
    return {start.cost + weak * next.cost,
            start.quality.lower * (1.0 - weak) + next.quality.lower * weak,
            start.quality.upper * (1.0 - weak) + next.quality.upper * weak};
}

bool isQualified(const std::vector<version_option> &options, std::size_t first, double qualityTarget)
{
    return options[first].quality.count >= ratingsToQualify && planFrom(options, first).lowerQuality >= qualityTarget;
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
    // The costliest version is the safest guess while nothing is known to meet the target.
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
    std::optional<std::size_t> unknown;
    std::optional<std::size_t> refuted;
    for (std::size_t index = 0; index < options.size(); ++index) {
        if (index == first || planFrom(options, index).cost >= planFrom(options, first).cost) {
            continue;
        }
        if (planFrom(options, index).upperQuality < qualityTarget) {
            refuted = index;
        } else if (!unknown || options[index].quality.count < options[*unknown].quality.count) {
            unknown = index;
        }
    }
    const double draw = m_random.unit();
    if (unknown) {
        const double sure = planFrom(options, first).lowerQuality;
        const double risk = std::max(pessimisticQuality, options[*unknown].quality.lower);
        double share = unqualifiedExplorationShare;
        if (isQualified(options, first, qualityTarget) && sure > risk) {
            // The mix of both still meets the target at this share, even if the unknown version is as bad as feared.
            share = std::min(highestExplorationShare, (sure - qualityTarget) / (sure - risk));
        }
        if (draw < share) {
            return unknown;
        }
        return std::nullopt;
    }
    if (refuted && draw < recheckShare) {
        return refuted;
    }
    return std::nullopt;
}

} // namespace crocuslane
