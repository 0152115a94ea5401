#include "plugins/admission/fair_order.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr double smallestWork = 1.0;
constexpr double smallestWeight = 1e-3;

} // namespace

double fair_order::arrive(const caller_group_id &group, double work, double weight)
{
    double &finish = m_finish[group];
    const double start = std::max(m_virtualTime, finish);
    finish = start + std::max(work, smallestWork) / std::max(weight, smallestWeight);
    return start;
}

void fair_order::leave(double start)
{
    m_virtualTime = std::max(m_virtualTime, start);
}

} // namespace crocuslane
