#pragma once

#include "kernel/peer_message.h"
#include "kernel/types.h"

#include <map>
#include <set>

namespace crocuslane {

/// Generation speed of a runner, estimated from the token gaps in the answers that it sends to this VM.
class speed_estimate
{
public:
    /// @p slowdown is the factor by which the requests in progress lengthen the gap, see
    /// runner_state::expectedSlowdown().
    void addTokenGap(duration gap, double slowdown, steady_time now);
    /// Seconds per token of the runner without other requests, empty before the first sample. @p activeStreams is the
    /// number of answers that the runner is streaming to this VM: with any, a long silence raises the estimate before
    /// the next token arrives.
    std::optional<double> secondsPerToken(steady_time now, unsigned activeStreams) const;
    /// Measures silence from now, because an answer has begun.
    void restartSilence(steady_time now);
    /// Expected gap between two tokens, under the load of the recent gaps.
    duration typicalGap() const;

private:
    // Exponentially weighted averages. The first two leave out the slowdown by other requests, m_recentGap includes it.
    double m_recentSecondsPerToken = 0.0;
    double m_typicalSecondsPerToken = 0.0;
    double m_recentGap = 0.0;
    unsigned m_samples = 0;
    steady_time m_lastActivity;
};

/// One backend server as this VM sees it: its entry in the VM list, its load reports, its use by other entry VMs and
/// the requests of this VM.
struct runner_state {
    // From the VM list.
    runner_id id;
    service_id service;
    std::string address;
    bool isLocalRegion = true;
    /// Rank by rendezvous hash, unique among the runners of the service in the same or in other regions.
    std::uint64_t rank = 0;

    // Whether the runner is leaving, per source, so that an outdated source doesn't clear what another one reported.
    bool isLeavingByList = false;
    bool isLeavingByReport = false;
    std::set<vm_id> leavingReportedBy;

    // From load reports.
    bool hasReport = false;
    std::uint32_t slots = 0;
    std::set<version_id> versions;
    /// Requests that were in progress or queued at the time of the report and not sent by this VM.
    double reportedOthersInFlight = 0.0;
    steady_time reportedAt;

    // From other entry VMs.
    struct remote_use {
        std::uint32_t inFlight = 0;
        steady_time receivedAt;
    };
    std::map<vm_id, remote_use> remoteUse;

    // Own requests.
    unsigned ownInFlight = 0;
    unsigned ownStreaming = 0;
    double ownRemainingTokens = 0.0;
    /// Value of ownInFlight after each change. A vector, because most runners are never used and an empty vector
    /// allocates nothing.
    std::vector<std::pair<steady_time, unsigned>> ownHistory;
    speed_estimate speed;
    /// Consecutive failures.
    unsigned failures = 0;
    steady_time suspendedUntil;

    bool isLeaving() const;
    bool isLeavingByOwnSources() const;
    /// True for any runner when @p version is empty.
    bool hasVersion(const version_id &version) const;
    bool isSuspended(steady_time now) const;
    /// Estimated number of requests of other entry VMs in progress. Reports count less the older they are.
    double othersInFlight(steady_time now) const;
    unsigned ownInFlightAt(steady_time when) const;
    /// Factor by which @p inFlight requests in progress slow each other down.
    static double expectedSlowdown(double inFlight);

    void applyReport(const runner_load &load, steady_time now);
    void changeOwnInFlight(int change, steady_time now);
    void recordFailure(attempt_failure failure, steady_time now);
};

} // namespace crocuslane
