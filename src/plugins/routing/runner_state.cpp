#include "plugins/routing/runner_state.h"

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

// Weight of the newest token gap: a few slow tokens must be enough to detect that a runner has slowed down.
constexpr double recentWeight = 0.2;
constexpr double typicalWeight = 0.01;
// Time constant: without requests there are no new samples, so the recent speed decays to the typical one. Otherwise a
// runner that was slow once would get no requests any more.
constexpr double speedDecaySeconds = 1.0;
// Time constant with which load reports and the use reported by other entry VMs lose weight.
constexpr double loadDecaySeconds = 2.0;
// Requests in one batch slow each other down: each further request lengthens the token gap by about this share.
constexpr double slowdownPerRequest = 0.03;
// Load reports refer to the past: changes of ownInFlight are kept for at least this time.
constexpr std::chrono::seconds minimumHistoryAge{5};
// From this size on, the older half is dropped at once, so that the amortised cost of a change is constant.
constexpr std::size_t historyTrimSize = 32;
constexpr std::chrono::milliseconds firstSuspension{500};
constexpr std::chrono::seconds maximumSuspension{8};
constexpr std::chrono::milliseconds rejectedSuspension{100};

} // namespace

void speed_estimate::addTokenGap(duration gap, double slowdown, steady_time now)
{
    const double seconds = toSeconds(gap);
    const double unloadedSeconds = seconds / slowdown;
    if (m_samples == 0) {
        m_recentSecondsPerToken = unloadedSeconds;
        m_typicalSecondsPerToken = unloadedSeconds;
        m_recentGap = seconds;
    }
    ++m_samples;
    m_recentSecondsPerToken += recentWeight * (unloadedSeconds - m_recentSecondsPerToken);
    m_recentGap += recentWeight * (seconds - m_recentGap);
    m_typicalSecondsPerToken += std::max(typicalWeight, 1.0 / m_samples) * (unloadedSeconds - m_typicalSecondsPerToken);
    m_lastActivity = now;
}

void speed_estimate::restartSilence(steady_time now)
{
    m_lastActivity = now;
}

std::optional<double> speed_estimate::secondsPerToken(steady_time now, unsigned activeStreams) const
{
    if (m_samples == 0) {
        return std::nullopt;
    }
    const double silence = toSeconds(now - m_lastActivity);
    if (activeStreams > 0) {
        // Silence up to twice the recent gap is normal.
        return silence > 2.0 * m_recentGap ? std::max(m_recentSecondsPerToken, silence / 2.0) : m_recentSecondsPerToken;
    }
    return m_typicalSecondsPerToken
        + (m_recentSecondsPerToken - m_typicalSecondsPerToken) * std::exp(-silence / speedDecaySeconds);
}

duration speed_estimate::typicalGap() const
{
    return fromSeconds(std::max(m_recentGap, m_typicalSecondsPerToken));
}

bool runner_state::isLeaving() const
{
    return isLeavingByOwnSources() || !leavingReportedBy.empty();
}

bool runner_state::isLeavingByOwnSources() const
{
    return isLeavingByList || isLeavingByReport;
}

bool runner_state::hasVersion(const version_id &version) const
{
    return version.isEmpty() || versions.contains(version);
}

bool runner_state::isSuspended(steady_time now) const
{
    if (now < suspendedUntil) {
        return true;
    }
    // After a suspension, a single request probes the runner before more are sent.
    return failures > 0 && ownInFlight > 0;
}

double runner_state::othersInFlight(steady_time now) const
{
    double remoteInFlight = 0.0;
    double remoteWeight = 0.0;
    for (const auto &[vm, use] : remoteUse) {
        const double weight = std::exp(-toSeconds(now - use.receivedAt) / loadDecaySeconds);
        remoteInFlight += use.inFlight * weight;
        remoteWeight = std::max(remoteWeight, weight);
    }
    if (!hasReport) {
        return remoteInFlight;
    }
    const double reportWeight = std::exp(-toSeconds(now - reportedAt) / loadDecaySeconds);
    if (remoteWeight + reportWeight <= 0.0) {
        return 0.0;
    }
    return (remoteInFlight * remoteWeight + reportedOthersInFlight * reportWeight * reportWeight)
        / (remoteWeight + reportWeight);
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
    reportedOthersInFlight = std::max(0.0, total - ownInFlightAt(reportedAt));
    isLeavingByReport = load.state == backend_state::leaving;
}

void runner_state::changeOwnInFlight(int change, steady_time now)
{
    ownInFlight = static_cast<unsigned>(static_cast<int>(ownInFlight) + change);
    ownHistory.emplace_back(now, ownInFlight);
    if (ownHistory.size() < historyTrimSize || ownHistory[ownHistory.size() / 2].first > now - minimumHistoryAge) {
        return;
    }
    ownHistory.erase(ownHistory.begin(), ownHistory.begin() + static_cast<std::ptrdiff_t>(ownHistory.size() / 2));
}

void runner_state::recordFailure(attempt_failure failure, steady_time now)
{
    if (failure == attempt_failure::cancelled) {
        return;
    }
    if (failure == attempt_failure::rejected) {
        suspendedUntil = std::max(suspendedUntil, now + rejectedSuspension);
        return;
    }
    // Failures of requests that were sent before the first failure was detected don't lengthen the suspension.
    if (now < suspendedUntil) {
        return;
    }
    const unsigned doublings = std::min(failures, 8U);
    const duration suspension = std::min<duration>(firstSuspension * (1U << doublings), maximumSuspension);
    ++failures;
    suspendedUntil = now + suspension;
}

} // namespace crocuslane
