#pragma once

#include "kernel/peer_message.h"
#include "services/rollout_policy.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crocuslane {

/// Compares failures and delays of a new version with those of the versions that it replaces, over all routes of a
/// service and for each route. The answers of all entry VMs count.
class version_comparison
{
public:
    void add(const version_observation &observation, bool isNew);
    /// Replaces what is known from another VM.
    void setEvidence(const version_evidence &evidence);
    /// Answers that this VM received.
    std::vector<version_evidence::route_counts> ownCounts() const;
    /// Answers from now on are also judged without those before, so that good ones don't hide a change.
    void beginCutover();
    /// True when the new version fails clearly more often, or answers slowly clearly more often, than the old ones.
    bool hasRegressed() const;
    /// Answers of the new version, failures included.
    std::uint64_t newAnswers() const;
    /// Counts of all VMs as text: answers, failures and slow answers of the new and the old versions.
    std::string describe() const;

private:
    using counts_by_route = std::map<std::uint32_t, version_evidence::route_counts>;

    static void add(version_counts &total, const version_counts &counts);
    static void add(counts_by_route &total, const version_evidence::route_counts &counts);
    counts_by_route sumByRoute() const;
    version_evidence::route_counts sum() const;
    static version_evidence::route_counts sumOf(const counts_by_route &routes);
    static bool hasRegressedOnAny(const counts_by_route &routes);
    /// The caller or a deadline ended the attempt, and by then an answer would have been slow.
    bool isOverdue(const version_observation &observation) const;

    counts_by_route m_own;
    counts_by_route m_beforeCutover;
    /// By VM and incarnation.
    std::map<std::pair<vm_id, std::uint64_t>, std::vector<version_evidence::route_counts>> m_others;
};

} // namespace crocuslane
