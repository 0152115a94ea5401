#include "plugins/backends/prefill_speed.h"

namespace crocuslane {

namespace {

constexpr double initialTokensPerMillisecond = 60.0;
constexpr double smoothingFactor = 0.05;
// With fewer tokens, the time to the first event consists mostly of the runner's other work.
constexpr std::uint64_t minimumTokens = 1000;
constexpr double millisecondsPerSecond = 1000.0;

} // namespace

void prefill_speed::addMeasurement(const std::string &model, std::uint64_t tokens, duration delay)
{
    const double milliseconds = toSeconds(delay) * millisecondsPerSecond;
    if (tokens < minimumTokens || milliseconds <= 0.0) {
        return;
    }
    double &speed = m_tokensPerMillisecond.try_emplace(model, initialTokensPerMillisecond).first->second;
    speed += smoothingFactor * (static_cast<double>(tokens) / milliseconds - speed);
}

duration prefill_speed::timeFor(const std::string &model, std::uint64_t tokens) const
{
    const auto found = m_tokensPerMillisecond.find(model);
    const double speed = found == m_tokensPerMillisecond.end() ? initialTokensPerMillisecond : found->second;
    return fromSeconds(static_cast<double>(tokens) / speed / millisecondsPerSecond);
}

} // namespace crocuslane
