#include "plugins/rollouts/answer_pace.h"

#include <algorithm>
#include <vector>

namespace crocuslane {

namespace {

// Runners of a new version start with empty prompt caches, which alone makes answers about twice as slow.
constexpr double slowRatio = 3.5;
constexpr std::size_t minimumSamples = 8;
constexpr std::size_t maximumSamples = 64;
// Expected delay of an answer: a fixed part, and the time to prefill the prompt.
constexpr double fixedMilliseconds = 40.0;
constexpr double promptTokensPerMillisecond = 40.0;

void addBounded(std::deque<double> &samples, double value)
{
    if (samples.size() == maximumSamples) {
        samples.pop_front();
    }
    samples.push_back(value);
}

double median(const std::deque<double> &samples)
{
    std::vector<double> values(samples.begin(), samples.end());
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void answer_pace::add(const version_observation &observation)
{
    const double ratio = ratioOf(observation);
    addBounded(m_all, ratio);
    addBounded(m_byRoute[observation.route], ratio);
}

bool answer_pace::isSlow(const version_observation &observation) const
{
    const ratio_list &reference = referenceFor(observation.route);
    return reference.size() >= minimumSamples && ratioOf(observation) > slowRatio * median(reference);
}

double answer_pace::ratioOf(const version_observation &observation)
{
    constexpr double millisecondsPerSecond = 1000.0;
    const double expected = fixedMilliseconds + observation.promptTokens / promptTokensPerMillisecond;
    return toSeconds(observation.delay) * millisecondsPerSecond / expected;
}

const answer_pace::ratio_list &answer_pace::referenceFor(const std::string &route) const
{
    const auto found = m_byRoute.find(route);
    return found != m_byRoute.end() && found->second.size() >= minimumSamples ? found->second : m_all;
}

} // namespace crocuslane
