#include "plugins/backends/reading_speed.h"

namespace crocuslane {

namespace {

constexpr double initialTokensPerMillisecond = 60.0;
constexpr double newestWeight = 0.05;
// With fewer tokens, the time is mostly that of the other work of the runner.
constexpr std::uint64_t fewestTokens = 1000;
constexpr double millisecondsPerSecond = 1000.0;

} // namespace

void reading_speed::note(const std::string &model, std::uint64_t tokens, duration delay)
{
    const double milliseconds = toSeconds(delay) * millisecondsPerSecond;
    if (tokens < fewestTokens || milliseconds <= 0.0) {
        return;
    }
    double &speed = m_tokensPerMillisecond.try_emplace(model, initialTokensPerMillisecond).first->second;
    speed += newestWeight * (static_cast<double>(tokens) / milliseconds - speed);
}

duration reading_speed::timeFor(const std::string &model, std::uint64_t tokens) const
{
    const auto found = m_tokensPerMillisecond.find(model);
    const double speed = found == m_tokensPerMillisecond.end() ? initialTokensPerMillisecond : found->second;
    return fromSeconds(static_cast<double>(tokens) / speed / millisecondsPerSecond);
}

} // namespace crocuslane
