#pragma once

#include <cstdint>

namespace crocuslane {

/// Encodes a non-negative quantity in 16 bits on a logarithmic scale: 0 is exact, values from 0.001 to 10^9 keep four
/// significant digits, values beyond the range saturate. Counts up to 2,000 are exact. This precision suffices for
/// demand, which is estimated and smoothed: smaller messages can be sent more often. Negative values and NaN give 0.
std::uint16_t toLogScale(double value);
double fromLogScale(std::uint16_t scaled);
/// Decoded value, rounded to an integer.
std::uint64_t countFromLogScale(std::uint16_t scaled);

} // namespace crocuslane
