#pragma once

#include "base/clock.h"

#include <string>
#include <unordered_map>

namespace crocuslane {

/// Estimates how fast runners prefill prompts, from the times until their answers begin.
class prefill_speed
{
public:
    /// @p delay is the time until the answer begins; it includes the wait for other requests at the runner.
    void addMeasurement(const std::string &model, std::uint64_t tokens, duration delay);
    /// Expected time to prefill @p tokens, with the usual wait.
    duration timeFor(const std::string &model, std::uint64_t tokens) const;
    /// Time to prefill @p tokens at a runner without other requests.
    duration unloadedTimeFor(const std::string &model, std::uint64_t tokens) const;
    /// Moving average, over all models, of the delays beyond unloadedTimeFor().
    duration queueingDelay() const;

private:
    /// In tokens per millisecond; see weightedTokens() in the source.
    struct model_speed {
        double usual;
        double unloaded;
    };

    model_speed speedOf(const std::string &model) const;

    std::unordered_map<std::string, model_speed> m_speeds;
    double m_queueingSeconds = 0.0;
};

} // namespace crocuslane
