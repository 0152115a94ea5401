#pragma once

#include "base/random_source.h"
#include "plugins/routing/prefix_index.h"
#include "plugins/routing/runner_table.h"
#include "services/runner_picker.h"

namespace crocuslane {

/// Chooses among a few candidates the runner with the least estimated time for a request.
class runner_selector
{
public:
    runner_selector(runner_table &table, const prefix_index &prefixes, random_source &random);

    /// Nothing when no runner of @p subset has a free slot for the request.
    std::optional<std::size_t>
    select(const std::vector<std::size_t> &subset, const pick_request &request, steady_time now);

private:
    struct candidate {
        std::size_t index = 0;
        std::size_t cachedBlocks = 0;
    };

    bool canTake(std::size_t index, const pick_request &request, steady_time now) const;
    std::vector<candidate>
    candidates(const std::vector<std::size_t> &subset, const pick_request &request, steady_time now);
    double score(const candidate &candidate, const pick_request &request, double typicalSpeed, steady_time now) const;

    runner_table &m_table;
    const prefix_index &m_prefixes;
    random_source &m_random;
};

/// Slots of a runner that long work may not take.
std::uint32_t slotsKeptForShortWork(std::uint32_t slots);

} // namespace crocuslane
