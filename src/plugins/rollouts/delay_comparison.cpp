#include "plugins/rollouts/delay_comparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace crocuslane {

namespace {

// Expected delay of an answer: a fixed part, and the time to prefill the prompt.
constexpr double fixedMilliseconds = 40.0;
constexpr double promptTokensPerMillisecond = 40.0;
constexpr double smallestRatio = 0.1;
constexpr double bucketsPerOctave = 2.0;
constexpr std::uint32_t minimumSamples = 8;
// Two octaves: runners of a new version start with empty prompt caches, which alone makes answers about twice as slow.
constexpr std::size_t slowBucketsBeyondMedian = 4;

} // namespace

std::size_t delayBucket(const version_observation &observation)
{
    constexpr double millisecondsPerSecond = 1000.0;
    const double expected = fixedMilliseconds + observation.promptTokens / promptTokensPerMillisecond;
    const double ratio = toSeconds(observation.delay) * millisecondsPerSecond / expected;
    const double position = bucketsPerOctave * std::log2(std::max(ratio, smallestRatio) / smallestRatio);
    return std::min(static_cast<std::size_t>(position), delay_histogram::size - 1);
}

delay_histogram &operator+=(delay_histogram &histogram, const delay_histogram &other)
{
    std::transform(histogram.counts.begin(),
                   histogram.counts.end(),
                   other.counts.begin(),
                   histogram.counts.begin(),
                   std::plus<>());
    return histogram;
}

std::optional<std::size_t> medianBucket(const delay_histogram &usual)
{
    const std::uint32_t total = countFrom(usual, 0);
    if (total < minimumSamples) {
        return std::nullopt;
    }
    std::size_t bucket = 0;
    for (std::uint32_t count = usual.counts[0]; 2 * count <= total; count += usual.counts[bucket]) {
        ++bucket;
    }
    return bucket;
}

std::size_t firstSlowBucket(const delay_histogram &usual)
{
    const std::optional<std::size_t> median = medianBucket(usual);
    return median ? std::min(*median + slowBucketsBeyondMedian, delay_histogram::size) : delay_histogram::size;
}

std::uint32_t countFrom(const delay_histogram &histogram, std::size_t first)
{
    const auto begin = histogram.counts.begin() + static_cast<std::ptrdiff_t>(first);
    return std::accumulate(begin, histogram.counts.end(), std::uint32_t{0});
}

} // namespace crocuslane
