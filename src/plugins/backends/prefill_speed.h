#pragma once

#include "base/clock.h"

#include <string>
#include <unordered_map>

namespace crocuslane {

/// Estimates how fast runners prefill prompts, as a moving average per model of the times to the first event.
class prefill_speed
{
public:
    /// @p delay is the time to the first event; it includes prompts ahead at the runner.
    void addMeasurement(const std::string &model, std::uint64_t tokens, duration delay);
    /// Time to prefill @p tokens.
    duration timeFor(const std::string &model, std::uint64_t tokens) const;

private:
    std::unordered_map<std::string, double> m_tokensPerMillisecond;
};

} // namespace crocuslane
