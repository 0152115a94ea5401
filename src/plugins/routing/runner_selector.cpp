#include "plugins/routing/runner_selector.h"

#include <algorithm>
#include <limits>

namespace crocuslane {

namespace {

constexpr std::size_t maximumRandomCandidates = 6;
constexpr std::size_t maximumPrefixCandidates = 2;
constexpr double tokensPerPrefixBlock = 64.0;
// Time to read a prompt token, relative to generating an output token.
constexpr double promptTokenCost = 0.01;
// Share of the slots of a runner reserved for short requests.
constexpr double reservedSlotShare = 0.25;
constexpr double defaultSecondsPerToken = 0.02;

} // namespace

std::uint32_t slotsReservedForShortWork(std::uint32_t slots)
{
    if (slots < 2) {
        return 0;
    }
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(reservedSlotShare * slots));
}

runner_selector::runner_selector(runner_table &table, const prefix_index &prefixes, random_source &random)
    : m_table(table)
    , m_prefixes(prefixes)
    , m_random(random)
{
}

bool runner_selector::canAccept(std::size_t index, const pick_request &request, steady_time now) const
{
    const runner_state &state = m_table.at(index);
    if (state.isSuspended(now) || request.excluded.contains(state.id)) {
        return false;
    }
    const double slotsInUse = state.ownInFlight + state.othersInFlight(now);
    const std::uint32_t reservedSlots = request.work.isLong ? slotsReservedForShortWork(state.slots) : 0;
    // The estimated use by other VMs is fractional: a slot counts as free when more than half of it is free.
    return slotsInUse + reservedSlots + 0.5 < state.slots;
}

std::vector<runner_selector::candidate>
runner_selector::candidates(const std::vector<std::size_t> &subset, const pick_request &request, steady_time now)
{
    std::vector<candidate> found;
    for (const prefix_index::prefix_match &match :
         m_prefixes.longestMatches(request.prefixHashes, maximumPrefixCandidates, now)) {
        const bool isInSubset = std::find(subset.begin(), subset.end(), match.runner) != subset.end();
        if (isInSubset && canAccept(match.runner, request, now)) {
            found.push_back({match.runner, match.blocks});
        }
    }
    // Iterates from a random position and adds the first runners with a free slot.
    std::size_t targetCount = found.size() + maximumRandomCandidates;
    const std::size_t start = m_random.below(subset.size());
    for (std::size_t step = 0; step < subset.size() && found.size() < targetCount; ++step) {
        const std::size_t index = subset[(start + step) % subset.size()];
        const bool isListed =
            std::any_of(found.begin(), found.end(), [index](const candidate &other) { return other.index == index; });
        if (!isListed && canAccept(index, request, now)) {
            found.push_back({index, 0});
        }
    }
    return found;
}

double runner_selector::score(const candidate &candidate,
                              const pick_request &request,
                              double typicalSecondsPerToken,
                              steady_time now) const
{
    const runner_state &state = m_table.at(candidate.index);
    const double cachedTokens =
        std::min<double>(request.work.promptTokens, static_cast<double>(candidate.cachedBlocks) * tokensPerPrefixBlock);
    const double weightedTokens =
        promptTokenCost * (request.work.promptTokens - cachedTokens) + request.work.outputTokens;
    const double othersInFlight = state.othersInFlight(now);
    const double unloadedSecondsPerToken =
        state.speed.secondsPerToken(now, state.ownStreaming).value_or(typicalSecondsPerToken);
    const double secondsPerToken =
        unloadedSecondsPerToken * runner_state::expectedSlowdown(state.ownInFlight + othersInFlight + 1.0);
    return secondsPerToken * weightedTokens;
}

std::optional<std::size_t>
runner_selector::select(const std::vector<std::size_t> &subset, const pick_request &request, steady_time now)
{
    if (subset.empty()) {
        return std::nullopt;
    }
    const std::vector<candidate> found = candidates(subset, request, now);
    double secondsPerTokenSum = 0.0;
    unsigned observedCount = 0;
    for (const candidate &candidate : found) {
        const runner_state &state = m_table.at(candidate.index);
        if (const auto secondsPerToken = state.speed.secondsPerToken(now, state.ownStreaming)) {
            secondsPerTokenSum += *secondsPerToken;
            ++observedCount;
        }
    }
    const double typicalSecondsPerToken =
        observedCount > 0 ? secondsPerTokenSum / observedCount : defaultSecondsPerToken;
    std::optional<std::size_t> best;
    double bestScore = std::numeric_limits<double>::max();
    for (const candidate &candidate : found) {
        const double candidateScore = score(candidate, request, typicalSecondsPerToken, now);
        if (candidateScore < bestScore) {
            bestScore = candidateScore;
            best = candidate.index;
        }
    }
    return best;
}

} // namespace crocuslane
