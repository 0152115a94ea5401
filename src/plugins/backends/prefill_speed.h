#pragma once

#include "base/clock.h"

#include <string>
#include <unordered_map>

namespace crocuslane {

/// Estimates how fast runners prefill prompts, as a moving average per model of the times to the first event.
class prefill_speed
{
public:
    /// Adds a measurement: @p tokens prompt tokens of a request were prefilled within @p delay, the time from the start
    /// of the attempt to its first event.
    void addMeasurement(const std::string &model, std::uint64_t tokens, duration delay);
    /// Expected time to prefill @p tokens prompt tokens.
    duration timeFor(const std::string &model, std::uint64_t tokens) const;

private:
    std::unordered_map<std::string, double> m_tokensPerMillisecond;
};

} // namespace crocuslane
