#pragma once

#include "base/text_id.h"
#include "plugins/backends/runner_limit_source.h"
#include "services/member_view.h"

#include <vector>

namespace crocuslane {

/// Divides the limits of runners among the entry VMs without an exchange of demand: for each runner, all VMs compute
/// the same few VMs that may send it requests, each an equal part of the limit.
class rate_shares
{
public:
    struct share {
        double requestsPerSecond = 0.0;
        /// Requests that may be sent at once after a pause.
        double burst = 0.0;
    };

    explicit rate_shares(const vm_id &self);
    /// @p members is null when this VM runs without other entry VMs.
    void setMembers(const member_view *members);
    /// Zero when the limit is for other VMs.
    share shareOf(runner_key runner, const runner_limit &limit) const;

private:
    std::uint64_t m_self;
    std::vector<std::uint64_t> m_others;
    /// Also those that don't count as alive.
    std::vector<std::uint64_t> m_allOthers;
    /// The list of VMs is not known yet.
    bool m_isUnknown = false;
};

} // namespace crocuslane
