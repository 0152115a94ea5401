#include "plugins/admission/fair_order.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr double smallestTokens = 1.0;
// Avoids a division by zero for a group whose limit is 0.
constexpr double smallestWeight = 1e-3;

} // namespace

double fair_order::arrive(const caller_group_id &group, double tokens, double weight)
{
    double &virtualFinish = m_virtualFinish[group];
    const double virtualStart = std::max(m_virtualTime, virtualFinish);
    virtualFinish = virtualStart + std::max(tokens, smallestTokens) / std::max(weight, smallestWeight);
    return virtualStart;
}

void fair_order::leave(double virtualStart)
{
    m_virtualTime = std::max(m_virtualTime, virtualStart);
}

} // namespace crocuslane
