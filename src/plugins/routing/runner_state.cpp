#include "plugins/routing/runner_state.h"

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

// Weight of the newest token gap: a few tokens of a slowed runner must be enough to see it.
constexpr double recentWeight = 0.2;
constexpr double typicalWeight = 0.01;
// A runner that gets no requests shows no speed; its last slow observation fades, so that it is tried again.
constexpr double fadeSeconds = 1.0;
constexpr double loadFadeSeconds = 2.0;
// Requests that run in one batch slow each other; engines lose about this share per further request.
constexpr double slowdownPerRequest = 0.03;
constexpr std::chrono::seconds historyLimit{5};
// The older half is dropped at once, so that a change costs the same however many there were.
constexpr std::size_t historyCheckSize = 32;
constexpr std::chrono::milliseconds firstSuspension{500};
constexpr std::chrono::seconds longestSuspension{8};
constexpr std::chrono::milliseconds rejectedSuspension{100};

} // namespace

void speed_estimate::addTokenGap(duration gap, double slowdown, steady_time now)
{
    const double seconds = toSeconds(gap);
    const double alone = seconds / slowdown;
    if (m_samples == 0) {
        m_recent = alone;
        m_typical = alone;
        m_recentGap = seconds;
    }
    ++m_samples;
    m_recent += recentWeight * (alone - m_recent);
    m_recentGap += recentWeight * (seconds - m_recentGap);
    m_typical += std::max(typicalWeight, 1.0 / m_samples) * (alone - m_typical);
    m_lastSample = now;
}

void speed_estimate::touch(steady_time now)
{
    m_lastSample = now;
}

std::optional<double> speed_estimate::secondsPerToken(steady_time now, unsigned streams) const
{
    if (m_samples == 0) {
        return std::nullopt;
    }
    const double silence = toSeconds(now - m_lastSample);
    if (streams > 0) {
        // Silence up to a usual gap says nothing.
        return silence > 2.0 * m_recentGap ? std::max(m_recent, silence / 2.0) : m_recent;
    }
    return m_typical + (m_recent - m_typical) * std::exp(-silence / fadeSeconds);
}

duration speed_estimate::typicalGap() const
{
    return fromSeconds(std::max(m_recentGap, m_typical));
}

bool runner_state::isLeaving() const
{
    return isLeavingByOwnSources() || !leavingByPeers.empty();
}

bool runner_state::isLeavingByOwnSources() const
{
    return isLeavingByList || isLeavingByReport;
}

bool runner_state::holds(const version_id &version) const
{
    return version.isEmpty() || versions.contains(version);
}

bool runner_state::isSuspended(steady_time now) const
{
    if (now < suspendedUntil) {
        return true;
    }
    // After failures a single request tries the runner before more are sent.
    return failures > 0 && ownInFlight > 0;
}

double runner_state::othersInFlight(steady_time now) const
{
    double remote = 0.0;
    double remoteWeight = 0.0;
    for (const auto &[vm, use] : remoteUse) {
        const double weight = std::exp(-toSeconds(now - use.heardAt) / loadFadeSeconds);
        remote += use.inFlight * weight;
        remoteWeight = std::max(remoteWeight, weight);
    }
    if (!hasReport) {
        return remote;
    }
    const double reportWeight = std::exp(-toSeconds(now - reportedAt) / loadFadeSeconds);
    if (remoteWeight + reportWeight <= 0.0) {
        return 0.0;
    }
    return (remote * remoteWeight + reportedOthers * reportWeight * reportWeight) / (remoteWeight + reportWeight);
}

unsigned runner_state::ownInFlightAt(steady_time when) const
{
    const auto after =
        std::upper_bound(ownHistory.begin(), ownHistory.end(), when, [](steady_time time, const auto &change) {
            return time < change.first;
        });
    return after == ownHistory.begin() ? 0 : std::prev(after)->second;
}

double runner_state::expectedSlowdown(double inFlight)
{
    return 1.0 + slowdownPerRequest * std::max(0.0, inFlight - 1.0);
}

void runner_state::applyReport(const runner_load &load, steady_time now)
{
    hasReport = true;
    slots = load.slots;
    reportedAt = now - load.age;
    const double total = load.slotsUsed + load.queued;
    reportedOthers = std::max(0.0, total - ownInFlightAt(reportedAt));
    isLeavingByReport = load.state == backend_state::leaving;
}

void runner_state::changeOwn(int change, steady_time now)
{
    ownInFlight = static_cast<unsigned>(static_cast<int>(ownInFlight) + change);
    ownHistory.emplace_back(now, ownInFlight);
    if (ownHistory.size() < historyCheckSize || ownHistory[ownHistory.size() / 2].first > now - historyLimit) {
        return;
    }
    ownHistory.erase(ownHistory.begin(), ownHistory.begin() + static_cast<std::ptrdiff_t>(ownHistory.size() / 2));
}

void runner_state::noteFailure(attempt_failure failure, steady_time now)
{
    if (failure == attempt_failure::cancelled) {
        return;
    }
    if (failure == attempt_failure::rejected) {
        suspendedUntil = std::max(suspendedUntil, now + rejectedSuspension);
        return;
    }
    // Failures of requests that were sent before the first failure was known don't lengthen the suspension.
    if (now < suspendedUntil) {
        return;
    }
    const unsigned doublings = std::min(failures, 8U);
    const duration suspension = std::min<duration>(firstSuspension * (1U << doublings), longestSuspension);
    ++failures;
    suspendedUntil = now + suspension;
}

} // namespace crocuslane
