#pragma once

#include "base/text_id.h"

#include <unordered_map>

namespace crocuslane {

/// Start-time fair queuing between caller groups.
///
/// Requests are ordered by the virtual time at which the earlier requests of their group are finished, so that a group
/// with a long queue does not delay the first request of another group.
class fair_order
{
public:
    /// Virtual start of a request of @p tokens tokens; @p weight is the capacity of the group relative to other groups.
    double arrive(const caller_group_id &group, double tokens, double weight);
    /// Notes that a request with this virtual start was served or abandoned.
    void leave(double virtualStart);

private:
    double m_virtualTime = 0.0;
    std::unordered_map<caller_group_id, double> m_virtualFinish;
};

} // namespace crocuslane
