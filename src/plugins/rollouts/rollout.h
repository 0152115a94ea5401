#pragma once

#include "base/random_source.h"
#include "kernel/forward_types.h"
#include "plugins/rollouts/rollout_settings.h"
#include "plugins/rollouts/version_evidence.h"

#include <optional>

namespace crocuslane {

/// One ordered roll-out as this VM sees it.
class rollout
{
public:
    rollout(rollout_order order, const rollout_settings &settings, random_source &random, steady_time now);

    const rollout_order &order() const;
    rollout_phase phase() const;
    /// A record of this order was read from the platform. Final phases are kept.
    void applyRecord(rollout_phase phase, steady_time now);
    /// Versions for a new request, counted. @p vms share the allowance.
    version_rule choose(const std::string &session, std::size_t vms, steady_time now);
    version_rule rule() const;
    void observe(const version_observation &observation);
    /// The phase that this VM wants recorded now; nothing when the recorded one stands.
    std::optional<rollout_phase> wanted(steady_time now, bool isOldVersionIdle) const;
    /// When wanted() may change by itself.
    steady_time nextChange() const;
    /// Another VM's record came first; the next try waits.
    void postpone(steady_time now);

private:
    bool mayExpose(std::size_t vms) const;
    bool isFinal() const;

    rollout_order m_order;
    rollout_settings m_settings;
    random_source &m_random;
    steady_time m_seenAt;
    steady_time m_notBefore;
    /// Differs between VMs, so that they don't all try to record a phase at once.
    duration m_phaseDelay{};
    rollout_phase m_phase = rollout_phase::canary;
    bool m_isRecorded = false;
    steady_time m_cutoverAt;
    std::uint64_t m_requests = 0;
    std::uint64_t m_exposed = 0;
    version_evidence m_evidence;
    bool m_isBad = false;
};

} // namespace crocuslane
