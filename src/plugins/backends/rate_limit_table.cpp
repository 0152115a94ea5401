#include "plugins/backends/rate_limit_table.h"

#include <cmath>
#include <utility>

namespace crocuslane {

namespace {

constexpr std::size_t maximumLimits = 4096;
// Fraction of a limit.
constexpr double smallChange = 0.1;

} // namespace

rate_limit_table::change rate_limit_table::note(
    runner_key runner, const stated_rate_limit &stated, bool isGenuine, steady_time startedAt, steady_time now)
{
    const auto known = m_limits.find(runner);
    if (stated.requestsPerSecond) {
        if (known == m_limits.end() && m_limits.size() >= maximumLimits) {
            return change::none;
        }
        const double before = known == m_limits.end() ? -1.0 : known->second.requestsPerSecond;
        m_limits[runner] = {*stated.requestsPerSecond, now};
        const bool isSmall = before >= 0.0 && std::abs(*stated.requestsPerSecond - before) <= smallChange * before;
        return isSmall ? change::none : change::stated;
    }
    if (!stated.unreadable.empty()) {
        return noteUnreadable(runner, stated.unreadable);
    }
    // An answer that began before the last statement was received may be older than that statement.
    if (known == m_limits.end() || !isGenuine || startedAt < known->second.statedAt) {
        return change::none;
    }
    m_limits.erase(known);
    return change::lifted;
}

rate_limit_table::change rate_limit_table::noteUnreadable(runner_key runner, const std::string &text)
{
    const auto known = m_unreadable.find(runner);
    if (known == m_unreadable.end() && m_unreadable.size() >= maximumLimits) {
        return change::none;
    }
    return std::exchange(m_unreadable[runner], text) == text ? change::none : change::unreadable;
}

const rate_limit_table::limit *rate_limit_table::find(runner_key runner) const
{
    const auto found = m_limits.find(runner);
    return found == m_limits.end() ? nullptr : &found->second;
}

std::size_t rate_limit_table::size() const
{
    return m_limits.size();
}

} // namespace crocuslane
