#pragma once

#include "base/random_source.h"
#include "plugins/routing/prefix_index.h"
#include "plugins/routing/runner_table.h"
#include "services/runner_picker.h"

namespace crocuslane {

/// Selects the runner with the shortest estimated time for a request among a few candidates: runners that have a prefix
/// of the prompt in their cache, and random ones.
class runner_selector
{
public:
    runner_selector(runner_table &table, const prefix_index &prefixes, random_source &random);

    /// Empty when no runner of @p subset has a free slot for the request.
    std::optional<std::size_t>
    select(const std::vector<std::size_t> &subset, const pick_request &request, steady_time now);

private:
    struct candidate {
        std::size_t index = 0;
        std::size_t cachedBlocks = 0;
    };

    bool canAccept(std::size_t index, const pick_request &request, steady_time now) const;
    std::vector<candidate>
    candidates(const std::vector<std::size_t> &subset, const pick_request &request, steady_time now);
    /// Estimated seconds that the candidate needs for the request. @p typicalSecondsPerToken applies to a runner whose
    /// speed hasn't been observed.
    double score(const candidate &candidate,
                 const pick_request &request,
                 double typicalSecondsPerToken,
                 steady_time now) const;

    runner_table &m_table;
    const prefix_index &m_prefixes;
    random_source &m_random;
};

/// Number of slots, out of @p slots of a runner, that long requests may not use.
std::uint32_t slotsReservedForShortWork(std::uint32_t slots);

} // namespace crocuslane
