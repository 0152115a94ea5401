#include "plugins/routing/runner_selector.h"

#include <algorithm>
#include <limits>

namespace crocuslane {

namespace {

constexpr std::size_t randomCandidates = 6;
constexpr std::size_t prefixCandidates = 2;
constexpr double tokensPerBlock = 64.0;
// Reading a prompt token costs about this share of generating one.
constexpr double promptTokenShare = 0.01;
constexpr double keptShare = 0.25;
constexpr double defaultSecondsPerToken = 0.02;

} // namespace

std::uint32_t slotsKeptForShortWork(std::uint32_t slots)
{
    if (slots < 2) {
        return 0;
    }
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(keptShare * slots));
}

runner_selector::runner_selector(runner_table &table, const prefix_index &prefixes, random_source &random)
    : m_table(table)
    , m_prefixes(prefixes)
    , m_random(random)
{
}

bool runner_selector::canTake(std::size_t index, const pick_request &request, steady_time now) const
{
    const runner_state &state = m_table.at(index);
    if (state.isSuspended(now) || request.excluded.contains(state.id)) {
        return false;
    }
    const double used = state.ownInFlight + state.othersInFlight(now);
    const std::uint32_t kept = request.work.isLong ? slotsKeptForShortWork(state.slots) : 0;
    // A fraction of a slot comes from estimates of other VMs' use; a slot counts as free when more than half of it is.
    return used + kept + 0.5 < state.slots;
}

std::vector<runner_selector::candidate>
runner_selector::candidates(const std::vector<std::size_t> &subset, const pick_request &request, steady_time now)
{
    std::vector<candidate> found;
    for (const prefix_index::holder &holder : m_prefixes.holders(request.prefixHashes, prefixCandidates, now)) {
        const bool isInSubset = std::find(subset.begin(), subset.end(), holder.runner) != subset.end();
        if (isInSubset && canTake(holder.runner, request, now)) {
            found.push_back({holder.runner, holder.blocks});
        }
    }
    // A walk from a random position: the first free runners are the random candidates.
    std::size_t wanted = found.size() + randomCandidates;
    const std::size_t start = m_random.below(subset.size());
    for (std::size_t step = 0; step < subset.size() && found.size() < wanted; ++step) {
        const std::size_t index = subset[(start + step) % subset.size()];
        const bool isKnown =
            std::any_of(found.begin(), found.end(), [index](const candidate &other) { return other.index == index; });
        if (!isKnown && canTake(index, request, now)) {
            found.push_back({index, 0});
        }
    }
    return found;
}

double runner_selector::score(const candidate &candidate,
                              const pick_request &request,
                              double typicalSpeed,
                              steady_time now) const
{
    const runner_state &state = m_table.at(candidate.index);
    const double cached =
        std::min<double>(request.work.promptTokens, static_cast<double>(candidate.cachedBlocks) * tokensPerBlock);
    const double ownWork = promptTokenShare * (request.work.promptTokens - cached) + request.work.outputTokens;
    const double others = state.othersInFlight(now);
    const double alone = state.speed.secondsPerToken(now, state.ownStreaming).value_or(typicalSpeed);
    const double speed = alone * runner_state::expectedSlowdown(state.ownInFlight + others + 1.0);
    return speed * ownWork;
}

std::optional<std::size_t>
runner_selector::select(const std::vector<std::size_t> &subset, const pick_request &request, steady_time now)
{
    if (subset.empty()) {
        return std::nullopt;
    }
    const std::vector<candidate> found = candidates(subset, request, now);
    double speedSum = 0.0;
    unsigned speedCount = 0;
    for (const candidate &candidate : found) {
        const runner_state &state = m_table.at(candidate.index);
        if (const auto speed = state.speed.secondsPerToken(now, state.ownStreaming)) {
            speedSum += *speed;
            ++speedCount;
        }
    }
    const double typicalSpeed = speedCount > 0 ? speedSum / speedCount : defaultSecondsPerToken;
    std::optional<std::size_t> best;
    double bestScore = std::numeric_limits<double>::max();
    for (const candidate &candidate : found) {
        const double current = score(candidate, request, typicalSpeed, now);
        if (current < bestScore) {
            bestScore = current;
            best = candidate.index;
        }
    }
    return best;
}

} // namespace crocuslane
