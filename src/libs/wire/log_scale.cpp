#include "wire/log_scale.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace crocuslane {

namespace {

// Binary logarithm of the smallest non-zero value.
constexpr double lowestExponent = -10.0;
constexpr double stepsPerOctave = 1638.0;
constexpr double highestStep = std::numeric_limits<std::uint16_t>::max();

} // namespace

std::uint16_t toLogScale(double value)
{
    // The negated comparison also covers NaN.
    if (!(value > 0.0)) {
        return 0;
    }
    const double step = 1.0 + (std::log2(value) - lowestExponent) * stepsPerOctave;
    return static_cast<std::uint16_t>(std::lround(std::clamp(step, 1.0, highestStep)));
}

double fromLogScale(std::uint16_t scaled)
{
    return scaled == 0 ? 0.0 : std::exp2((scaled - 1.0) / stepsPerOctave + lowestExponent);
}

std::uint64_t countFromLogScale(std::uint16_t scaled)
{
    return static_cast<std::uint64_t>(std::llround(fromLogScale(scaled)));
}

} // namespace crocuslane
