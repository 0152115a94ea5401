#include "plugins/rollouts/version_comparison.h"

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

} // namespace

version_comparison::counts &version_comparison::counts::operator+=(const counts &other)
{
    answers += other.answers;
    failures += other.failures;
    slow += other.slow;
    return *this;
}

bool version_comparison::pair_of_counts::hasRegressed() const
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

void version_comparison::add(const version_observation &observation, bool isNew)
{
    pair_of_counts &own = m_own[observation.route];
    const bool isSlow = !observation.hasFailed && m_pace.isSlow(observation);
    count(observation, isSlow, isNew ? own.newVersion : own.oldVersions);
    if (!isNew && !observation.hasFailed && !observation.isUnanswered) {
        m_pace.add(observation);
    }
}

void version_comparison::count(const version_observation &observation, bool isSlow, counts &target)
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

bool version_comparison::hasRegressed() const
{
    pair_of_counts total;
    for (const auto &[route, each] : countsByRoute()) {
        if (each.hasRegressed()) {
            return true;
        }
        total.newVersion += each.newVersion;
        total.oldVersions += each.oldVersions;
    }
    return total.hasRegressed();
}

std::uint64_t version_comparison::newAnswers() const
{
    std::uint64_t total = 0;
    for (const auto &[route, each] : countsByRoute()) {
        total += each.newVersion.answers;
    }
    return total;
}

std::map<std::string, version_comparison::pair_of_counts> version_comparison::countsByRoute() const
{
    return m_own;
}

} // namespace crocuslane
