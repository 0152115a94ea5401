#include "plugins/forwarding/escalation_policy.h"

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

constexpr double tokensPerKilotoken = 1000.0;
// Reading a token costs this fraction of generating one.
constexpr double costOfPromptToken = 0.25;
// Value of a good answer, in thousands of tokens that the largest model generates at the same cost. A long answer is
// worth more to its caller than a short one.
constexpr double valueOfAnswer = 1.0;
constexpr double valueOfOutputToken = 0.025;
// A model's confidence of 50 means that its answer is as probably good as not; the odds change by a factor of e for
// each confidencePerLogOdds points.
constexpr double evenConfidence = 50.0;
constexpr double confidencePerLogOdds = 6.0;
// The odds are not known better than this.
constexpr double minimumProbability = 0.03;
// An answer of almost no confidence is escalated under any load that still lets the larger model's answer be in time.
constexpr double minimumRequiredConfidence = 15.0;
// After this fraction of the objective, the answer of a larger model would come too late.
constexpr double latestFraction = 0.5;

bool wouldBeLate(const escalation_estimate &estimate)
{
    const duration latest = fromSeconds(latestFraction * toSeconds(estimate.objective));
    return estimate.elapsed > latest
        || estimate.elapsed + estimate.prefillTime + estimate.queueingDelay > estimate.objective;
}

/// Probability of a bad answer from which the larger model is worth its cost.
double breakEvenProbability(const escalation_estimate &estimate)
{
    const double cost = (costOfPromptToken * estimate.promptTokens + estimate.outputTokens) / tokensPerKilotoken;
    const double value = valueOfAnswer + valueOfOutputToken * estimate.outputTokens;
    return std::clamp(cost / value, minimumProbability, 1.0 - minimumProbability);
}

} // namespace

double requiredConfidence(const escalation_estimate &estimate)
{
    if (wouldBeLate(estimate)) {
        return 0.0;
    }
    const double probability = breakEvenProbability(estimate);
    const double whenIdle = evenConfidence + confidencePerLogOdds * std::log((1.0 - probability) / probability);
    const double delay = toSeconds(estimate.expectedDelay) / toSeconds(estimate.objective);
    return std::max(whenIdle * (1.0 - delay), minimumRequiredConfidence);
}

bool shouldEscalate(const escalation_estimate &estimate)
{
    return estimate.confidence < requiredConfidence(estimate);
}

} // namespace crocuslane
