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
    /// Whether two orders of different epochs of the log are the same one: the same service, target and time limit.
    static bool isSameOrder(const rollout_order &left, const rollout_order &right);
    /// Adopts the position of the order in a later epoch. Phase, evidence and times stay; no record of that epoch is
    /// known.
    void continueAt(const rollout_order &order, steady_time now);
    rollout_phase phase() const;
    /// Applies the phase of a record that was read from the platform. A final phase is never replaced.
    void applyRecord(rollout_phase phase, steady_time now);
    /// Versions for the first attempt of a request. @p vmCount VMs share the exposure allowance.
    version_rule choose(const std::string &session, std::size_t vmCount, steady_time now);
    /// Versions for a further attempt.
    version_rule rule(const std::string &session, steady_time now) const;
    /// Counts an attempt for the exposure of the new version.
    void attemptStarted(const std::string &version, bool isFirst);
    void observe(const version_observation &observation);
    /// Adds what another VM observed.
    void addEvidence(const version_evidence &evidence);
    /// Answers that this VM received since the order.
    std::vector<version_evidence::route_counts> ownCounts() const;
    /// Number of observations of the new version; grows with each one.
    std::uint64_t newObservations() const;
    /// The phase that this VM should record now: the next one, or the current one if its record was lost. Nothing while
    /// the current phase continues.
    std::optional<rollout_phase> phaseToRecord(steady_time now, bool isOldVersionIdle) const;
    /// version_comparison::describe()
    std::string describeEvidence() const;
    /// Earliest time at which phaseToRecord() may return a phase; the maximum once a final phase is recorded.
    steady_time nextRecordTime() const;
    /// Delays the next record after this VM sent one, or after another VM's record came first.
    void postpone(steady_time now);

private:
    version_rule onlyNew() const;
    version_rule onlyOld() const;
    bool mayUseCanary(std::size_t vmCount) const;
    /// Share of the sessions that use the new version. It never falls while the version is good, so that no session
    /// returns to the old one.
    double sessionShare(steady_time now) const;
    bool usesNewVersion(const std::string &session, steady_time now) const;
    bool isFinal() const;
    /// Whether the log has a record of the current phase, of a later one or of the other final one.
    bool isRecorded() const;
    /// The time at which @p fraction of the order's time limit has passed.
    steady_time timeAt(double fraction) const;
    std::optional<rollout_phase> nextPhase(steady_time now, bool isOldVersionIdle) const;
    std::optional<rollout_phase> phaseAfterCanary(steady_time now) const;
    std::optional<rollout_phase> phaseAfterCutover(steady_time now, bool isOldVersionIdle) const;

    rollout_order m_order;
    rollout_settings m_settings;
    random_source &m_random;
    steady_time m_orderReadAt;
    steady_time m_nextRecordAt;
    /// Random delay, so that the VMs don't all try to record a phase at once.
    duration m_phaseJitter{};
    rollout_phase m_phase = rollout_phase::canary;
    /// Phase of the newest record in the current epoch of the log.
    std::optional<rollout_phase> m_recorded;
    /// Since when no record is known.
    steady_time m_unrecordedSince;
    /// When the cutover was recorded, as far as this VM knows, and when this VM read that.
    steady_time m_cutoverAt;
    steady_time m_cutoverReadAt;
    /// version_comparison::newAnswers() at that time.
    std::uint64_t m_answersBeforeCutover = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_canaryRequests = 0;
    version_comparison m_comparison;
    std::uint64_t m_newObservations = 0;
    bool m_hasRegressed = false;
};

} // namespace crocuslane
