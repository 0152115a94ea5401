#include "plugins/versions/quality_estimator.h"

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

// Quality drifts as the callers' questions change, so the weight of a rating decays over some thousand newer ones.
constexpr double retainedPerRating = 1.0 - 1.0 / 4000.0;
// 95% one-sided quantile of the normal distribution.
constexpr double boundQuantile = 1.645;
// The prior of the variance is that of a uniformly distributed score and has the weight of four ratings.
constexpr double priorVariance = 1.0 / 12.0;
constexpr double priorWeight = 4.0;

} // namespace

void quality_estimator::add(const kind_id &kind, const version_id &version, double score)
{
    const double bounded = std::clamp(score, 0.0, 1.0);
    sums &current = m_sums[{kind, version}];
    current.count = current.count * retainedPerRating + 1.0;
    current.sum = current.sum * retainedPerRating + bounded;
    current.squares = current.squares * retainedPerRating + bounded * bounded;
}

quality_estimate quality_estimator::estimate(const kind_id &kind, const version_id &version) const
{
    const auto found = m_sums.find({kind, version});
    if (found == m_sums.end()) {
        return {};
    }
    const sums &current = found->second;
    const double mean = current.sum / current.count;
    const double observed = std::max(0.0, current.squares / current.count - mean * mean);
    const double variance = (observed * current.count + priorVariance * priorWeight) / (current.count + priorWeight);
    const double margin = boundQuantile * std::sqrt(variance / current.count);
    return {mean, std::max(0.0, mean - margin), std::min(1.0, mean + margin), current.count, variance};
}

void quality_estimator::remove(const version_id &version)
{
    std::erase_if(m_sums, [&version](const auto &entry) { return entry.first.second == version; });
}

} // namespace crocuslane
