#include "plugins/versions/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace crocuslane {

sequential_test::sequential_test(double threshold)
    : m_threshold(threshold)
{
}

void sequential_test::add(double logLikelihoodRatio)
{
    m_sum = std::max(0.0, m_sum + logLikelihoodRatio);
    if (m_sum >= m_threshold) {
        m_hasAlarm = true;
    }
}

bool sequential_test::hasAlarm() const
{
    return m_hasAlarm;
}

double sequential_test::evidence() const
{
    return m_sum / m_threshold;
}

void sequential_test::reset()
{
    m_sum = 0.0;
    m_hasAlarm = false;
}

double binaryLogLikelihoodRatio(bool isYes, double probabilityIfBad, double probabilityIfGood)
{
    return isYes ? std::log(probabilityIfBad / probabilityIfGood)
                 : std::log((1.0 - probabilityIfBad) / (1.0 - probabilityIfGood));
}

double shiftLogLikelihoodRatio(double excess, double shift, double variance)
{
    return (excess - shift / 2.0) * shift / variance;
}

} // namespace crocuslane
