#include "plugins/rollouts/version_comparison.h"

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

bool hasRegressedOn(const version_counts &newVersion, const version_counts &oldVersions)
{
    const double usualFailures =
        std::max(usualFailureShare, shareOf(oldVersions.failures, oldVersions.answers) + failureMargin);
    if (newVersion.failures >= minimumFailures && lowerBound(newVersion.failures, newVersion.answers) > usualFailures) {
        return true;
    }
    return newVersion.answers >= minimumAnswersForSlowness
        && lowerBound(newVersion.slow, newVersion.answers)
        > shareOf(oldVersions.slow, oldVersions.answers) + slowMargin;
}

std::uint32_t hashOf(const std::string &route)
{
    return XXH32(route.data(), route.size(), 0);
}

} // namespace

void version_comparison::add(const version_observation &observation, bool isNew)
{
    version_evidence::route_counts &own = m_own[hashOf(observation.route)];
    own.route = hashOf(observation.route);
    const bool isSlow = !observation.hasFailed && m_pace.isSlow(observation);
    count(observation, isSlow, isNew ? own.newVersion : own.oldVersions);
    if (!isNew && !observation.hasFailed && !observation.isUnanswered) {
        m_pace.add(observation);
    }
}

void version_comparison::count(const version_observation &observation, bool isSlow, version_counts &target)
{
    if (observation.hasFailed) {
        target.answers += observation.wasCounted ? 0 : 1;
        ++target.failures;
        return;
    }
    // An answer that the caller didn't wait for says something only if it was slow already.
    if (observation.isUnanswered && !isSlow) {
        return;
    }
    ++target.answers;
    target.slow += isSlow ? 1 : 0;
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
    version_counts newVersion;
    version_counts oldVersions;
    for (const auto &[route, each] : sumByRoute()) {
        if (hasRegressedOn(each.newVersion, each.oldVersions)) {
            return true;
        }
        newVersion += each.newVersion;
        oldVersions += each.oldVersions;
    }
    return hasRegressedOn(newVersion, oldVersions);
}

std::uint64_t version_comparison::newAnswers() const
{
    std::uint64_t total = 0;
    for (const auto &[route, each] : sumByRoute()) {
        total += each.newVersion.answers;
    }
    return total;
}

void version_comparison::add(counts_by_route &total, const version_evidence::route_counts &counts)
{
    version_evidence::route_counts &sum = total[counts.route];
    sum.newVersion += counts.newVersion;
    sum.oldVersions += counts.oldVersions;
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
