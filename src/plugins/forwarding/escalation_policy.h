#pragma once

#include "base/clock.h"

#include <cstdint>

namespace crocuslane {

/// What is known when a small model's answer begins and the largest model could answer instead.
struct escalation_estimate {
    /// The small model's confidence in its answer, 0 to 100.
    unsigned confidence = 0;
    std::uint32_t promptTokens = 0;
    /// Expected length of the answer.
    std::uint32_t outputTokens = 0;
    /// Time from the arrival of the request until now.
    duration elapsed{};
    /// Time from the arrival of the request within which an answer should begin.
    duration objective{};
    /// Expected delay at the runner that would answer, its other requests and the network included.
    duration expectedDelay{};
    /// Time to prefill the whole prompt with the largest model at an idle runner.
    duration prefillTime{};
    /// Current delay of prompts at runners beyond their own prefill time.
    duration queueingDelay{};
};

/// Confidence from which the small model's answer is kept: where the expected cost of the largest model's answer equals
/// its expected value. It falls with the expected delay, and is 0 when the largest model's answer would come too late.
double requiredConfidence(const escalation_estimate &estimate);

/// Whether the largest model should answer instead.
bool shouldEscalate(const escalation_estimate &estimate);

} // namespace crocuslane
