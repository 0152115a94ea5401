#include "plugins/rollouts/version_comparison.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr unsigned minimumFailures = 3;
constexpr double failureRatio = 2.5;
// A good version fails in less than this share of its requests, because of faults of runners and connections.
constexpr double usualFailureShare = 0.1;
constexpr std::size_t minimumDelaySamples = 6;
constexpr std::size_t maximumDelaySamples = 64;
constexpr double delayRatio = 2.5;
// Expected delay of an answer: a fixed part, and the time to prefill the prompt.
constexpr double fixedMilliseconds = 40.0;
constexpr double promptTokensPerMillisecond = 40.0;

double failureShare(unsigned failures, unsigned answers)
{
    return answers == 0 ? 0.0 : static_cast<double>(failures) / answers;
}

} // namespace

void version_comparison::add(const version_observation &observation, bool isNew)
{
    sample &target = isNew ? m_new : m_old;
    ++target.answers;
    if (observation.hasFailed) {
        ++target.failures;
        return;
    }
    const double expected = fixedMilliseconds + observation.promptTokens / promptTokensPerMillisecond;
    if (target.delays.size() == maximumDelaySamples) {
        target.delays.erase(target.delays.begin());
    }
    target.delays.push_back(toSeconds(observation.delay) * 1000.0 / expected);
}

bool version_comparison::hasRegressed() const
{
    return failsMore() || isSlower();
}

bool version_comparison::failsMore() const
{
    const double usual = std::max(usualFailureShare, failureRatio * failureShare(m_old.failures, m_old.answers));
    return m_new.failures >= minimumFailures && failureShare(m_new.failures, m_new.answers) > usual;
}

bool version_comparison::isSlower() const
{
    if (m_new.delays.size() < minimumDelaySamples || m_old.delays.size() < minimumDelaySamples) {
        return false;
    }
    return median(m_new.delays) > delayRatio * median(m_old.delays);
}

double version_comparison::median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace crocuslane
