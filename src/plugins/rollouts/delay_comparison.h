#pragma once

#include "kernel/peer_message.h"
#include "services/rollout_policy.h"

#include <optional>

namespace crocuslane {

/// Position in a delay_histogram of an answer, or of an attempt without one.
std::size_t delayBucket(const version_observation &observation);
delay_histogram &operator+=(delay_histogram &histogram, const delay_histogram &other);
/// Position of the median; nothing when too few answers are known.
std::optional<std::size_t> medianBucket(const delay_histogram &usual);
/// The first position at which answers take several times as long as usual; the size of a histogram when too few
/// answers are known.
std::size_t firstSlowBucket(const delay_histogram &usual);
/// Number of answers at @p first and all later positions.
std::uint32_t countFrom(const delay_histogram &histogram, std::size_t first);

} // namespace crocuslane
