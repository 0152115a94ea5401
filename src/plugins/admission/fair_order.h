#pragma once

#include "base/text_id.h"

#include <algorithm>
#include <unordered_map>

namespace crocuslane {

/// Start-time fair queuing between caller groups or organisations.
///
/// Requests are ordered by the virtual time at which the earlier requests of their owner are finished, so that an owner
/// with a long queue does not delay the first request of another one.
template<typename owner_id>
class basic_fair_order
{
public:
    /// Virtual start of a request of @p cost; @p weight is the capacity of the owner relative to other owners.
    double arrive(const owner_id &owner, double cost, double weight)
    {
        // Avoids a division by zero for an owner whose limit is 0.
        constexpr double smallestWeight = 1e-3;
        constexpr double smallestCost = 1.0;
        const double start = virtualStart(owner);
        m_virtualFinish[owner] = start + std::max(cost, smallestCost) / std::max(weight, smallestWeight);
        return start;
    }

    /// Notes that a request with this virtual start was served or abandoned.
    void leave(double virtualStart)
    {
        m_virtualTime = std::max(m_virtualTime, virtualStart);
    }

    /// Virtual start that the next request of @p owner would get.
    double virtualStart(const owner_id &owner) const
    {
        const auto found = m_virtualFinish.find(owner);
        return found == m_virtualFinish.end() ? m_virtualTime : std::max(m_virtualTime, found->second);
    }

private:
    double m_virtualTime = 0.0;
    std::unordered_map<owner_id, double> m_virtualFinish;
};

using fair_order = basic_fair_order<caller_group_id>;

} // namespace crocuslane
