#pragma once

#include "kernel/peer_message.h"
#include "kernel/types.h"

#include <map>
#include <set>

namespace crocuslane {

/// What this VM knows about the speed of a runner from its own requests.
class speed_estimate
{
public:
    /// @p slowdown is the part that the requests in progress explain, see runner_state::expectedSlowdown().
    void addTokenGap(duration gap, double slowdown, steady_time now);
    /// Seconds per token of a runner without other requests; nothing when never observed. @p streams is the number of
    /// own answers in progress: their silence shows a slow runner before the next token does.
    std::optional<double> secondsPerToken(steady_time now, unsigned streams) const;
    /// A token came or an answer began, so that silence counts from now.
    void touch(steady_time now);
    duration typicalGap() const;

private:
    double m_recent = 0.0;
    double m_typical = 0.0;
    double m_recentGap = 0.0;
    unsigned m_samples = 0;
    steady_time m_lastSample;
};

/// Everything that this VM knows about one backend server.
struct runner_state {
    // From the VM list.
    runner_id id;
    service_id service;
    std::string address;
    bool isLocalRegion = true;
    std::uint64_t rank = 0;

    // Leaving marks, one per source, so that a source that lags does not clear the mark of another.
    bool isLeavingByList = false;
    bool isLeavingByReport = false;
    std::set<vm_id> leavingByPeers;

    // From load reports.
    bool hasReport = false;
    std::uint32_t slots = 0;
    std::set<version_id> versions;
    double reportedOthers = 0.0;
    steady_time reportedAt;

    // From other entry VMs.
    struct remote_use {
        std::uint32_t inFlight = 0;
        steady_time heardAt;
    };
    std::map<vm_id, remote_use> remoteUse;

    // Own requests.
    unsigned ownInFlight = 0;
    unsigned ownStreaming = 0;
    double ownRemainingTokens = 0.0;
    /// Changes of ownInFlight; a vector, because an empty one needs no memory and most runners are never used.
    std::vector<std::pair<steady_time, unsigned>> ownHistory;
    speed_estimate speed;
    unsigned failures = 0;
    steady_time suspendedUntil;

    bool isLeaving() const;
    bool isLeavingByOwnSources() const;
    bool holds(const version_id &version) const;
    bool isSuspended(steady_time now) const;
    /// Estimated requests of other entry VMs in progress, discounted by age.
    double othersInFlight(steady_time now) const;
    unsigned ownInFlightAt(steady_time when) const;
    /// Factor by which @p inFlight requests in progress slow each other.
    static double expectedSlowdown(double inFlight);

    void applyReport(const runner_load &load, steady_time now);
    void changeOwn(int change, steady_time now);
    void noteFailure(attempt_failure failure, steady_time now);
};

} // namespace crocuslane
