#pragma once

#include "kernel/types.h"

#include <deque>
#include <map>
#include <unordered_set>

namespace crocuslane {

/// Sums of bills by organisation; the first bill of a request id counts.
class bill_totals
{
public:
    struct sums {
        std::uint64_t bills = 0;
        std::uint64_t outputTokens = 0;
        /// Millionths of the operators' currency unit.
        std::uint64_t cost = 0;
    };

    /// @p ignoresRepeatedRequests is false in controls of proofs only.
    explicit bill_totals(bool ignoresRepeatedRequests = true);

    void add(const bill &bill);
    const std::map<organisation_id, sums> &byOrganisation() const;
    /// The last counted bills, the oldest first.
    const std::deque<bill> &recent() const;

private:
    bool m_ignoresRepeatedRequests;
    std::map<organisation_id, sums> m_sums;
    std::deque<bill> m_recent;
    std::unordered_set<std::uint64_t> m_counted;
    std::deque<std::uint64_t> m_countedOrder;
};

} // namespace crocuslane
