#pragma once

#include "base/text_id.h"

#include <unordered_map>

namespace crocuslane {

/// Start-time fair queuing between caller groups: a request's order is the virtual time at which its group's earlier
/// requests are worked off, so a group with a long queue does not delay the first request of another.
class fair_order
{
public:
    /// Virtual start of a request of @p work tokens; @p weight is the group's part of the capacity against others.
    double arrive(const caller_group_id &group, double work, double weight);
    /// A request with this virtual start was served or given up.
    void leave(double start);

private:
    double m_virtualTime = 0.0;
    std::unordered_map<caller_group_id, double> m_finish;
};

} // namespace crocuslane
