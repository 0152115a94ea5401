#pragma once

#include "base/random_source.h"
#include "kernel/forward_types.h"
#include "plugins/rollouts/rollout_settings.h"
#include "plugins/rollouts/version_comparison.h"

#include <optional>

namespace crocuslane {

/// One ordered rollout in the view of this VM: its phase, the versions for requests, and the next phase to record.
class rollout
{
public:
    rollout(rollout_order order, const rollout_settings &settings, random_source &random, steady_time now);

    const rollout_order &order() const;
    rollout_phase phase() const;
    /// Applies the phase of a record that was read from the platform. A final phase is never replaced.
    void applyRecord(rollout_phase phase, steady_time now);
    /// Versions that a new request may use; counts the request. @p vmCount VMs share the exposure allowance.
    version_rule choose(const std::string &session, std::size_t vmCount, steady_time now);
    /// Versions that requests may use without being counted as canary requests.
    version_rule rule() const;
    void observe(const version_observation &observation);
    /// The phase that this VM should record now; nothing while the current phase continues.
    std::optional<rollout_phase> phaseToRecord(steady_time now, bool isOldVersionIdle) const;
    /// Earliest time at which phaseToRecord() may return a phase; the maximum once the phase is final.
    steady_time nextRecordTime() const;
    /// Delays the next record after this VM sent one, or after another VM's record came first.
    void postpone(steady_time now);

private:
    bool mayUseCanary(std::size_t vmCount) const;
    bool isFinal() const;

    rollout_order m_order;
    rollout_settings m_settings;
    random_source &m_random;
    steady_time m_orderReadAt;
    steady_time m_nextRecordAt;
    /// Random delay, so that the VMs don't all try to record a phase at once.
    duration m_phaseJitter{};
    rollout_phase m_phase = rollout_phase::canary;
    bool m_hasRecord = false;
    steady_time m_cutoverAt;
    std::uint64_t m_requests = 0;
    std::uint64_t m_canaryRequests = 0;
    version_comparison m_comparison;
    bool m_hasRegressed = false;
};

} // namespace crocuslane
