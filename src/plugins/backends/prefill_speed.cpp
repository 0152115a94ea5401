#include "plugins/backends/prefill_speed.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr double initialTokensPerMillisecond = 60.0;
constexpr double usualSmoothing = 0.05;
// Faster measurements count more: they had the least wait in them.
constexpr double unloadedSmoothingUp = 0.1;
constexpr double unloadedSmoothingDown = 0.02;
constexpr double queueingSmoothing = 0.1;
// With fewer tokens, the time to the first event consists mostly of the runner's other work.
constexpr std::uint64_t minimumTokens = 1000;
constexpr double millisecondsPerSecond = 1000.0;
// The time of attention grows with the square of a prompt's length; in a prompt of this many tokens it equals that of
// all other work.
constexpr double tokensOfEqualAttention = 60'000.0;

/// Tokens of a short prompt that take as long to prefill.
double weightedTokens(std::uint64_t tokens)
{
    const auto count = static_cast<double>(tokens);
    return count * (1.0 + count / tokensOfEqualAttention);
}

duration timeAt(double tokensPerMillisecond, std::uint64_t tokens)
{
    return fromSeconds(weightedTokens(tokens) / tokensPerMillisecond / millisecondsPerSecond);
}

} // namespace

prefill_speed::model_speed prefill_speed::speedOf(const std::string &model) const
{
    const auto found = m_speeds.find(model);
    return found == m_speeds.end() ? model_speed{initialTokensPerMillisecond, initialTokensPerMillisecond}
                                   : found->second;
}

void prefill_speed::addMeasurement(const std::string &model, std::uint64_t tokens, duration delay)
{
    const double wait = std::max(0.0, toSeconds(delay) - toSeconds(unloadedTimeFor(model, tokens)));
    m_queueingSeconds += queueingSmoothing * (wait - m_queueingSeconds);
    const double milliseconds = toSeconds(delay) * millisecondsPerSecond;
    if (tokens < minimumTokens || milliseconds <= 0.0) {
        return;
    }
    const double measured = weightedTokens(tokens) / milliseconds;
    model_speed &speed = m_speeds.try_emplace(model, speedOf(model)).first->second;
    speed.usual += usualSmoothing * (measured - speed.usual);
    const double smoothing = measured > speed.unloaded ? unloadedSmoothingUp : unloadedSmoothingDown;
    speed.unloaded += smoothing * (measured - speed.unloaded);
}

duration prefill_speed::timeFor(const std::string &model, std::uint64_t tokens) const
{
    return timeAt(speedOf(model).usual, tokens);
}

duration prefill_speed::unloadedTimeFor(const std::string &model, std::uint64_t tokens) const
{
    return timeAt(speedOf(model).unloaded, tokens);
}

duration prefill_speed::queueingDelay() const
{
    return fromSeconds(m_queueingSeconds);
}

} // namespace crocuslane
