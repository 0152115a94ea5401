#include "plugins/rollouts/version_comparison.h"

#include "plugins/rollouts/delay_comparison.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

constexpr std::uint32_t minimumFailures = 3;
// A good version fails in less than this share of its requests, because of faults of runners and connections.
constexpr double usualFailureShare = 0.1;
// The new version's share must exceed that of the old ones by this much.
constexpr double failureMargin = 0.1;
constexpr double slowMargin = 0.15;
constexpr std::uint32_t minimumAnswersForSlowness = 6;
// Standard deviations between the observed share and the lower bound of the true one.
constexpr double confidenceDeviations = 2.0;

double shareOf(std::uint32_t count, std::uint32_t total)
{
    return total == 0 ? 0.0 : static_cast<double>(count) / total;
}

/// Lower bound of the Wilson score interval.
double lowerBound(std::uint32_t count, std::uint32_t total)
{
    if (total == 0) {
        return 0.0;
    }
    const double share = shareOf(count, total);
    const double squared = confidenceDeviations * confidenceDeviations;
    const double centre = share + squared / (2.0 * total);
    const double spread =
        confidenceDeviations * std::sqrt(share * (1.0 - share) / total + squared / (4.0 * total * total));
    return (centre - spread) / (1.0 + squared / total);
}

bool failsMore(const version_counts &newVersion, const version_counts &oldVersions)
{
    const double usual =
        std::max(usualFailureShare, shareOf(oldVersions.failures, oldVersions.answers) + failureMargin);
    return newVersion.failures >= minimumFailures && lowerBound(newVersion.failures, newVersion.answers) > usual;
}

bool isSlower(const delay_histogram &newVersion, const delay_histogram &oldVersions)
{
    const std::size_t first = firstSlowBucket(oldVersions);
    const std::uint32_t answers = countFrom(newVersion, 0);
    if (first == delay_histogram::size || answers < minimumAnswersForSlowness) {
        return false;
    }
    const double usual = shareOf(countFrom(oldVersions, first), countFrom(oldVersions, 0));
    return lowerBound(countFrom(newVersion, first), answers) > usual + slowMargin;
}

bool hasRegressedOn(const version_evidence::route_counts &counts)
{
    return failsMore(counts.newVersion, counts.oldVersions)
        || isSlower(counts.newVersion.delays, counts.oldVersions.delays);
}

std::uint32_t hashOf(const std::string &route)
{
    return XXH32(route.data(), route.size(), 0);
}

} // namespace

void version_comparison::add(const version_observation &observation, bool isNew)
{
    if (observation.isUnanswered && !isOverdue(observation)) {
        return;
    }
    version_evidence::route_counts &own = m_own[hashOf(observation.route)];
    own.route = hashOf(observation.route);
    version_counts &target = isNew ? own.newVersion : own.oldVersions;
    target.answers += observation.wasCounted ? 0 : 1;
    if (observation.hasFailed) {
        ++target.failures;
        return;
    }
    ++target.delays.counts[delayBucket(observation)];
}

bool version_comparison::isOverdue(const version_observation &observation) const
{
    const counts_by_route routes = sumByRoute();
    const auto found = routes.find(hashOf(observation.route));
    return found != routes.end() && delayBucket(observation) >= firstSlowBucket(found->second.oldVersions.delays);
}

void version_comparison::setEvidence(const version_evidence &evidence)
{
    m_others[evidence.vm] = evidence.routes;
}

std::vector<version_evidence::route_counts> version_comparison::ownCounts() const
{
    std::vector<version_evidence::route_counts> counts;
    for (const auto &[route, each] : m_own) {
        counts.push_back(each);
    }
    return counts;
}

bool version_comparison::hasRegressed() const
{
    const counts_by_route routes = sumByRoute();
    const bool hasRegressedOnRoute =
        std::any_of(routes.begin(), routes.end(), [](const auto &each) { return hasRegressedOn(each.second); });
    return hasRegressedOnRoute || hasRegressedOn(sum());
}

std::uint64_t version_comparison::newAnswers() const
{
    return sum().newVersion.answers;
}

std::string version_comparison::describe() const
{
    const version_evidence::route_counts total = sum();
    const std::size_t first = firstSlowBucket(total.oldVersions.delays);
    return fmt::format("new:{}/{}/{},old:{}/{}/{}",
                       total.newVersion.answers,
                       total.newVersion.failures,
                       countFrom(total.newVersion.delays, first),
                       total.oldVersions.answers,
                       total.oldVersions.failures,
                       countFrom(total.oldVersions.delays, first));
}

version_evidence::route_counts version_comparison::sum() const
{
    version_evidence::route_counts total;
    for (const auto &[route, each] : sumByRoute()) {
        add(total.newVersion, each.newVersion);
        add(total.oldVersions, each.oldVersions);
    }
    return total;
}

void version_comparison::add(version_counts &total, const version_counts &counts)
{
    total.answers += counts.answers;
    total.failures += counts.failures;
    total.delays += counts.delays;
}

void version_comparison::add(counts_by_route &total, const version_evidence::route_counts &counts)
{
    version_evidence::route_counts &sum = total[counts.route];
    add(sum.newVersion, counts.newVersion);
    add(sum.oldVersions, counts.oldVersions);
}

version_comparison::counts_by_route version_comparison::sumByRoute() const
{
    counts_by_route total = m_own;
    for (const auto &[vm, routes] : m_others) {
        for (const version_evidence::route_counts &each : routes) {
            add(total, each);
        }
    }
    return total;
}

} // namespace crocuslane
