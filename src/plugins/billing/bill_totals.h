#pragma once

#include "kernel/types.h"

#include <deque>
#include <map>
#include <unordered_set>

namespace crocuslane {

/// Sums of bills by organisation. Only the first bill of a request id counts.
class bill_totals
{
public:
    struct sums {
        std::uint64_t bills = 0;
        std::uint64_t outputTokens = 0;
        /// Millionths of the operators' currency unit.
        std::uint64_t cost = 0;
    };

    /// @p ignoresRepeatedRequests is false only in the negative controls of the proof programs.
    explicit bill_totals(bool ignoresRepeatedRequests = true);

    void add(const bill &bill);
    const std::map<organisation_id, sums> &byOrganisation() const;
    /// The last counted bills, oldest first.
    const std::deque<bill> &recent() const;

private:
    bool m_ignoresRepeatedRequests;
    std::map<organisation_id, sums> m_sums;
    std::deque<bill> m_recent;
    /// Hashes of the counted request ids.
    std::unordered_set<std::uint64_t> m_countedHashes;
    /// The same hashes, oldest first.
    std::deque<std::uint64_t> m_countedHashOrder;
};

} // namespace crocuslane
