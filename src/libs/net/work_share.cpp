#include "net/work_share.h"

#include <algorithm>

namespace crocuslane {

namespace {

// In the long run, a transfer waits this many times as long as it uses the loop.
constexpr int waitPerUse = 4;
constexpr std::chrono::milliseconds burst{2};

} // namespace

void work_share::use(steady_time start, steady_time end)
{
    m_excess = excess(start) + (end - start);
    m_updated = end;
}

duration work_share::waitTime(steady_time now) const
{
    return std::max(excess(now) - burst, duration::zero()) * waitPerUse;
}

// With credit, many paused transfers would each use a whole burst in turn, and leave no time for others.
void work_share::resume(steady_time now)
{
    m_excess = burst;
    m_updated = now;
}

duration work_share::excess(steady_time now) const
{
    return std::max(m_excess - (now - m_updated) / waitPerUse, duration::zero());
}

} // namespace crocuslane
