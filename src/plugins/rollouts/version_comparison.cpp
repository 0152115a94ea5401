#include "plugins/rollouts/version_comparison.h"

#include "plugins/rollouts/delay_comparison.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace crocuslane {

namespace {

constexpr std::uint32_t minimumFailures = 3;
// A good version fails in less than this share of its requests, because of faults of runners and connections.
constexpr double usualFailureShare = 0.1;
// The new version's share must exceed that of the old ones by this much.
constexpr double failureMargin = 0.1;
/// Answers count as slow from a distance beyond the median of the old versions, in steps of half an octave. The closer
/// it is, the more may their share grow because of empty prompt caches alone.
struct slow_limit {
    std::size_t bucketsBeyondMedian;
    double margin;
};
constexpr std::array<slow_limit, 3> slowLimits{{{2, 0.25}, {3, 0.2}, {4, 0.15}}};
constexpr std::uint32_t minimumAnswersForSlowness = 6;
// Standard deviations between the observed share and the lower bound of the true one.
constexpr double failureDeviations = 2.0;
// Delays are compared at several limits, so that each one must be surer.
constexpr double slowDeviations = 2.4;

double shareOf(std::uint32_t count, std::uint32_t total)
{
    return total == 0 ? 0.0 : static_cast<double>(count) / total;
}

/// Lower bound of the Wilson score interval.
double lowerBound(std::uint32_t count, std::uint32_t total, double deviations)
{
    if (total == 0) {
        return 0.0;
    }
    const double share = shareOf(count, total);
    const double squared = deviations * deviations;
    const double centre = share + squared / (2.0 * total);
    const double spread = deviations * std::sqrt(share * (1.0 - share) / total + squared / (4.0 * total * total));
    return (centre - spread) / (1.0 + squared / total);
}

bool failsMore(const version_counts &newVersion, const version_counts &oldVersions)
{
    const double usual =
        std::max(usualFailureShare, shareOf(oldVersions.failures, oldVersions.answers) + failureMargin);
    return newVersion.failures >= minimumFailures
        && lowerBound(newVersion.failures, newVersion.answers, failureDeviations) > usual;
}

bool isSlower(const delay_histogram &newVersion, const delay_histogram &oldVersions)
{
    const std::optional<std::size_t> median = medianBucket(oldVersions);
    const std::uint32_t answers = countFrom(newVersion, 0);
    if (!median || answers < minimumAnswersForSlowness) {
        return false;
    }
    return std::any_of(slowLimits.begin(), slowLimits.end(), [&](const slow_limit &limit) {
        const std::size_t first = std::min(*median + limit.bucketsBeyondMedian, delay_histogram::size);
        const double usual = shareOf(countFrom(oldVersions, first), countFrom(oldVersions, 0));
        return lowerBound(countFrom(newVersion, first), answers, slowDeviations) > usual + limit.margin;
    });
}

bool hasRegressedOn(const version_evidence::route_counts &counts)
{
    return failsMore(counts.newVersion, counts.oldVersions)
        || isSlower(counts.newVersion.delays, counts.oldVersions.delays);
}

// A VM that was restarted, or that is heard of again, may know less than before.
void subtract(version_counts &counts, const version_counts &earlier)
{
    counts.answers -= std::min(counts.answers, earlier.answers);
    counts.failures -= std::min(counts.failures, earlier.failures);
    for (std::size_t bucket = 0; bucket < delay_histogram::size; ++bucket) {
        counts.delays.counts[bucket] -= std::min(counts.delays.counts[bucket], earlier.delays.counts[bucket]);
    }
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
    m_others[{evidence.vm, evidence.incarnation}] = evidence.routes;
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
    counts_by_route routes = sumByRoute();
    if (hasRegressedOnAny(routes)) {
        return true;
    }
    for (auto &[route, counts] : routes) {
        const auto earlier = m_beforeCutover.find(route);
        if (earlier != m_beforeCutover.end()) {
            subtract(counts.newVersion, earlier->second.newVersion);
        }
    }
    return !m_beforeCutover.empty() && hasRegressedOnAny(routes);
}

bool version_comparison::hasRegressedOnAny(const counts_by_route &routes)
{
    return hasRegressedOn(sumOf(routes))
        || std::any_of(routes.begin(), routes.end(), [](const auto &each) { return hasRegressedOn(each.second); });
}

void version_comparison::beginCutover()
{
    m_beforeCutover = sumByRoute();
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
    return sumOf(sumByRoute());
}

version_evidence::route_counts version_comparison::sumOf(const counts_by_route &routes)
{
    version_evidence::route_counts total;
    for (const auto &[route, each] : routes) {
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
    for (const auto &[process, routes] : m_others) {
        for (const version_evidence::route_counts &each : routes) {
            add(total, each);
        }
    }
    return total;
}

} // namespace crocuslane
