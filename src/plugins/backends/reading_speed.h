#pragma once

#include "base/clock.h"

#include <string>
#include <unordered_map>

namespace crocuslane {

/// Speed at which runners read prompts, learned for each model from the time to the first event.
class reading_speed
{
public:
    /// @p tokens were read, by this request and those before it at the runner, until the first event came.
    void note(const std::string &model, std::uint64_t tokens, duration delay);
    /// Time to read @p tokens.
    duration timeFor(const std::string &model, std::uint64_t tokens) const;

private:
    std::unordered_map<std::string, double> m_tokensPerMillisecond;
};

} // namespace crocuslane
