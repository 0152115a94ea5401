#pragma once

#include <cstdint>

namespace crocuslane {

/// Quantity from 0 in 16 bits: 0 stays 0, others keep four digits from 0.001 to 10^9 and saturate at both ends. Counts
/// up to 2,000 are exact. Demand is estimated and smoothed, so the bytes that more digits take are better spent on
/// sending it more often.
std::uint16_t toLogScale(double value);
double fromLogScale(std::uint16_t scaled);
std::uint64_t countFromLogScale(std::uint16_t scaled);

} // namespace crocuslane
