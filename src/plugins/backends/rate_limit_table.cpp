#include "plugins/backends/rate_limit_table.h"

#include <cmath>
#include <utility>

namespace crocuslane {

namespace {

constexpr std::size_t maximumLimits = 4096;
constexpr std::size_t maximumEntriesPerMessage = 64;
// Fraction of a limit.
constexpr double smallChange = 0.1;
// The other VMs hear of a limit that is still stated this often.
constexpr std::chrono::seconds refreshInterval{5};
// Times of other VMs are late by the time that messages need.
constexpr std::chrono::milliseconds timeInaccuracy{500};
constexpr std::chrono::seconds liftMemory{15};
// The process of the runner has ended long before.
constexpr std::chrono::minutes limitLifetime{10};
// When no VM has heard of a limit for this time, other VMs get their turn to send a request: the VMs that had it may
// have none for this runner.
constexpr std::chrono::seconds turnInterval{15};

bool isSmallChange(double before, double after)
{
    return std::abs(after - before) <= smallChange * before;
}

std::chrono::milliseconds ageOf(steady_time time, steady_time now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(now - time, duration::zero()));
}

} // namespace

rate_limit_table::change rate_limit_table::note(
    runner_key runner, const stated_rate_limit &stated, bool isGenuine, steady_time startedAt, steady_time now)
{
    if (stated.requestsPerSecond) {
        return state(runner, *stated.requestsPerSecond, now);
    }
    if (!stated.unreadable.empty()) {
        return noteUnreadable(runner, stated.unreadable);
    }
    const auto known = m_limits.find(runner);
    // An answer that began before the last statement was received may be older than that statement.
    if (known == m_limits.end() || !isGenuine || startedAt < known->second.statedAt) {
        return change::none;
    }
    lift(runner, startedAt);
    return change::lifted;
}

rate_limit_table::change rate_limit_table::state(runner_key runner, double requestsPerSecond, steady_time now)
{
    const auto [found, isNew] = m_limits.try_emplace(runner);
    if (isNew && m_limits.size() > maximumLimits) {
        m_limits.erase(found);
        return change::none;
    }
    limit &known = found->second;
    known.requestsPerSecond = requestsPerSecond;
    known.statedAt = now;
    const bool hasChanged = isNew || !isSmallChange(known.sharedRequestsPerSecond, requestsPerSecond);
    if (hasChanged || now - known.sharedAt >= refreshInterval) {
        known.sharedAt = now;
        known.sharedRequestsPerSecond = requestsPerSecond;
        m_changed.insert(runner);
    }
    return hasChanged ? change::stated : change::none;
}

rate_limit_table::change rate_limit_table::noteUnreadable(runner_key runner, const std::string &text)
{
    const auto known = m_unreadable.find(runner);
    if (known == m_unreadable.end() && m_unreadable.size() >= maximumLimits) {
        return change::none;
    }
    return std::exchange(m_unreadable[runner], text) == text ? change::none : change::unreadable;
}

void rate_limit_table::lift(runner_key runner, steady_time at)
{
    m_limits.erase(runner);
    m_lifted[runner] = at;
    m_changed.insert(runner);
}

rate_limit_table::change rate_limit_table::merge(const runner_limits::entry &entry, steady_time now)
{
    const steady_time at = now - entry.age;
    return entry.requestsPerSecond ? mergeLimit(entry.runner, *entry.requestsPerSecond, at)
                                   : mergeLift(entry.runner, at);
}

rate_limit_table::change rate_limit_table::mergeLimit(runner_key runner, double requestsPerSecond, steady_time at)
{
    const auto lifted = m_lifted.find(runner);
    if (lifted != m_lifted.end() && at <= lifted->second + timeInaccuracy) {
        return change::none;
    }
    const auto known = m_limits.find(runner);
    if (known == m_limits.end()) {
        if (m_limits.size() >= maximumLimits) {
            return change::none;
        }
        m_limits[runner] = {requestsPerSecond, at, at, requestsPerSecond};
        m_changed.insert(runner);
        return change::stated;
    }
    limit &found = known->second;
    if (at <= found.statedAt) {
        return change::none;
    }
    const bool hasChanged = !isSmallChange(found.sharedRequestsPerSecond, requestsPerSecond);
    // The same statement comes back from other VMs, later by the time that the messages needed.
    if (hasChanged || at > found.sharedAt + refreshInterval / 2) {
        found.sharedAt = at;
        found.sharedRequestsPerSecond = requestsPerSecond;
        m_changed.insert(runner);
    }
    found.requestsPerSecond = requestsPerSecond;
    found.statedAt = at;
    return hasChanged ? change::stated : change::none;
}

rate_limit_table::change rate_limit_table::mergeLift(runner_key runner, steady_time at)
{
    const auto lifted = m_lifted.find(runner);
    if (lifted != m_lifted.end() && at <= lifted->second + timeInaccuracy) {
        return change::none;
    }
    const auto known = m_limits.find(runner);
    const bool isKnown = known != m_limits.end();
    if (isKnown && at + timeInaccuracy < known->second.statedAt) {
        return change::none;
    }
    if (!isKnown && m_lifted.size() >= maximumLimits) {
        return change::none;
    }
    lift(runner, at);
    return isKnown ? change::lifted : change::none;
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

std::optional<runner_limit> rate_limit_table::limitOf(runner_key runner, steady_time now) const
{
    const limit *known = find(runner);
    if (known == nullptr) {
        return std::nullopt;
    }
    runner_limit found;
    found.requestsPerSecond = known->requestsPerSecond;
    found.turn = now <= known->sharedAt ? 0 : static_cast<std::uint64_t>((now - known->sharedAt) / turnInterval);
    return found;
}

bool rate_limit_table::hasLimits(steady_time /*now*/) const
{
    return !m_limits.empty();
}

bool rate_limit_table::hasChanges() const
{
    return !m_changed.empty();
}

runner_limits rate_limit_table::takeChanges(steady_time now)
{
    runner_limits message;
    while (!m_changed.empty() && message.entries.size() < maximumEntriesPerMessage) {
        const runner_key runner = *m_changed.begin();
        m_changed.erase(m_changed.begin());
        if (const limit *known = find(runner)) {
            message.entries.push_back({runner, known->requestsPerSecond, ageOf(known->sharedAt, now)});
        } else if (const auto lifted = m_lifted.find(runner); lifted != m_lifted.end()) {
            message.entries.push_back({runner, std::nullopt, ageOf(lifted->second, now)});
        }
    }
    return message;
}

runner_limits rate_limit_table::describe(steady_time now) const
{
    runner_limits message;
    for (const auto &[runner, known] : m_limits) {
        message.entries.push_back({runner, known.requestsPerSecond, ageOf(known.sharedAt, now)});
    }
    return message;
}

void rate_limit_table::expire(steady_time now)
{
    std::erase_if(m_lifted, [now](const auto &each) { return now - each.second > liftMemory; });
    std::erase_if(m_limits, [now](const auto &each) { return now - each.second.statedAt > limitLifetime; });
}

} // namespace crocuslane
