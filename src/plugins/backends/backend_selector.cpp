#include "plugins/backends/backend_selector.h"

#include <xxhash.h>

#include <algorithm>

namespace crocuslane {

namespace {

// Share of an engine's memory that requests in progress may fill; beyond it the engine preempts running requests.
constexpr double usableMemory = 0.9;
// Each running request lengthens a step of the engine.
constexpr double millisecondsPerRunning = 6.0;
// While a prompt is read, the other streams of the runner pause; this share of their time counts.
constexpr double neighbourShare = 0.1;
constexpr double serviceMilliseconds = 60.0;
constexpr double failurePenaltyMilliseconds = 2000.0;
// Round trips to another zone and region, with what the bytes cost there.
constexpr double otherZoneMilliseconds = 12.0;
constexpr double otherRegionMilliseconds = 150.0;
// A plain service may hold this many requests for each slot before further ones wait here.
constexpr double requestsPerSlot = 2.0;
// The runner that all VMs prefer for a prompt is taken to keep its shared part. The gain is twice the time to read it:
// what is not read doesn't hold up the runner's other requests either, and other VMs find the part there too.
constexpr double sharedChoiceGain = 2.0;
// Runners whose costs differ by less are equal, and chance keeps the VMs from choosing alike.
constexpr double nearBestMilliseconds = 6.0;

double toMilliseconds(duration value)
{
    constexpr double perSecond = 1000.0;
    return toSeconds(value) * perSecond;
}

std::uint64_t affinity(const prompt_part &part, const runner_id &runner)
{
    return XXH3_64bits_withSeed(runner.value().data(), runner.value().size(), part.id);
}

/// The longest part that other requests share; the last part belongs to the request itself.
const prompt_part *sharedPart(const std::vector<prompt_part> &prompt)
{
    return prompt.size() < 2 ? nullptr : &prompt[prompt.size() - 2];
}

} // namespace

backend_selector::backend_selector(vm_place place, random_source &random, const reading_speed &speed)
    : m_place(std::move(place))
    , m_random(random)
    , m_speed(speed)
{
}

bool backend_selector::isEligible(const backend_record &state, const backend_requirements &need)
{
    return need.versions.allows(state.entry.version)
        && (need.excluded == nullptr || !need.excluded->contains(state.entry.id));
}

bool backend_selector::hasRoom(const backend_record &state, const backend_requirements &need, steady_time now)
{
    const unsigned running = state.estimatedRunning(now);
    if (need.engine == nullptr) {
        return running < std::max(1U, state.entry.slots) * requestsPerSlot;
    }
    if (running >= need.engine->slots) {
        return false;
    }
    const double perRequest = state.running > 0 ? static_cast<double>(state.memoryTokens) / state.running
                                                : need.promptTokens + need.outputTokens;
    const double others = (running - std::min(running, state.running)) * perRequest;
    const double used = static_cast<double>(state.memoryTokens) + others;
    return used + need.promptTokens + need.outputTokens
        <= usableMemory * static_cast<double>(need.engine->kvCacheTokens)
        || running == 0;
}

std::optional<backend_selector::scored> backend_selector::select(const std::vector<backend_record *> &candidates,
                                                                 const backend_requirements &need,
                                                                 steady_time now) const
{
    std::vector<scored> possible;
    for (backend_record *state : candidates) {
        if (isEligible(*state, need) && hasRoom(*state, need, now) && state->failures.avoidedUntil() <= now) {
            possible.push_back(score(*state, need, now));
        }
    }
    if (possible.empty()) {
        return std::nullopt;
    }
    const prompt_part *part = need.prompt == nullptr ? nullptr : sharedPart(*need.prompt);
    if (part != nullptr && need.engine != nullptr) {
        // All VMs compute the same order of runners for a part, so that they read it on few runners without talking.
        const auto preferred =
            std::max_element(possible.begin(), possible.end(), [part](const scored &a, const scored &b) {
                return affinity(*part, a.state->entry.id) < affinity(*part, b.state->entry.id);
            });
        preferred->cost -= sharedChoiceGain * toMilliseconds(m_speed.timeFor(need.model, part->tokens));
    }
    const double best = std::min_element(possible.begin(), possible.end(), [](const scored &a, const scored &b) {
                            return a.cost < b.cost;
                        })->cost;
    std::erase_if(possible, [best](const scored &each) { return each.cost > best + nearBestMilliseconds; });
    return possible[m_random.below(possible.size())];
}

backend_selector::scored
backend_selector::score(backend_record &state, const backend_requirements &need, steady_time now) const
{
    const unsigned running = state.estimatedRunning(now);
    double wait = 0.0;
    if (need.engine != nullptr) {
        const std::uint32_t cached = need.prompt == nullptr ? 0 : state.prompts.cachedTokens(*need.prompt, now);
        const std::uint32_t missing = need.promptTokens - std::min(need.promptTokens, cached);
        const double reading = toMilliseconds(m_speed.timeFor(need.model, missing));
        wait =
            toMilliseconds(state.unreadTime) + reading + running * (millisecondsPerRunning + neighbourShare * reading);
    } else {
        const double slots = std::max(1U, state.entry.slots);
        wait = serviceMilliseconds * (1.0 + running / slots);
    }
    wait *= state.slowness(now);
    const double distance = distanceMilliseconds(state.entry.availabilityZone);
    scored result;
    result.state = &state;
    result.expectedDelay = fromSeconds((wait + distance) / 1000.0);
    result.cost = wait + distance + failurePenaltyMilliseconds * state.failures.share(now);
    return result;
}

double backend_selector::distanceMilliseconds(const std::string &availabilityZone) const
{
    if (availabilityZone == m_place.availabilityZone) {
        return 0.0;
    }
    const auto region = m_place.regions.find(availabilityZone);
    const bool isSameRegion = region != m_place.regions.end() && region->second == m_place.region;
    return isSameRegion ? otherZoneMilliseconds : otherRegionMilliseconds;
}

} // namespace crocuslane
