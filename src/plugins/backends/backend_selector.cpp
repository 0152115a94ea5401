#include "plugins/backends/backend_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

// Share of an engine's KV cache that requests in progress may fill; beyond it, the engine preempts running requests.
constexpr double usableMemoryShare = 0.9;
// Each running request makes each step of the engine longer.
constexpr double millisecondsPerRunningRequest = 6.0;
// While a prompt is prefilled, the other streams of the runner pause; this share of their delay counts as cost.
constexpr double prefillInterference = 0.1;
// Assumed time of a request at a plain service without load.
constexpr double plainServiceMilliseconds = 60.0;
constexpr double failurePenaltyMilliseconds = 2000.0;
// Round-trip times to another zone and to another region, including a penalty for the price of the traffic.
constexpr double otherZoneMilliseconds = 12.0;
constexpr double otherRegionMilliseconds = 150.0;
// A runner of a plain service gets this many requests per slot; further ones wait in the queue of this VM.
constexpr double requestsPerSlot = 2.0;
// The runner that all VMs prefer for a prompt probably has its shared part cached. Its cost is reduced by twice the
// time to prefill that part: a cached part doesn't delay the runner's other requests either, and other VMs can use it
// there too.
constexpr double preferredRunnerGain = 2.0;
// Runners whose costs differ by less count as equal. A choice weighted by cost spreads load more evenly, but it returns
// to runners that lose answers, so that more sound requests are taken for the cause of crashes.
constexpr double equalCostMilliseconds = 6.0;
// Of the choice by weight at plain services.
constexpr double costScaleMilliseconds = 4.0;
// The comparison of half-lives and limits is in docs/design/even-load.md.
constexpr std::chrono::milliseconds countHalfLife{1000};
constexpr double preferredLoadLimit = 1.25;
constexpr double preferredAllowance = 5.0;

double toMilliseconds(duration value)
{
    constexpr double perSecond = 1000.0;
    return toSeconds(value) * perSecond;
}

std::uint64_t affinity(const prompt_part &part, const runner_id &runner)
{
    return XXH3_64bits_withSeed(runner.value().data(), runner.value().size(), part.id);
}

/// The last part that other requests may share: the one before the final part, which is the request's own.
const prompt_part *sharedPart(const std::vector<prompt_part> &prompt)
{
    return prompt.size() < 2 ? nullptr : &prompt[prompt.size() - 2];
}

} // namespace

selection_rules defaultSelectionRules()
{
    return {std::make_shared<aged_load>(countHalfLife),
            std::make_shared<near_cheapest_choice>(equalCostMilliseconds),
            std::make_shared<cost_weighted_choice>(costScaleMilliseconds),
            preferredLoadLimit,
            preferredAllowance};
}

backend_selector::backend_selector(vm_location location,
                                   random_source &random,
                                   const prefill_speed &prefillSpeed,
                                   const placement_filter &filter,
                                   const runner_speeds &speeds,
                                   selection_rules rules)
    : m_location(std::move(location))
    , m_random(random)
    , m_prefillSpeed(prefillSpeed)
    , m_filter(filter)
    , m_speeds(speeds)
    , m_rules(std::move(rules))
{
}

bool backend_selector::isEligible(const backend_record &record, const backend_requirements &requirements) const
{
    return !m_filter.obstacle(record, requirements);
}

bool backend_selector::hasCapacity(const backend_record &record,
                                   const backend_requirements &requirements,
                                   steady_time now)
{
    const unsigned running = record.estimatedRunning(now);
    if (requirements.engine == nullptr) {
        return running < std::max(1U, record.entry.slots) * requestsPerSlot;
    }
    if (running >= requirements.engine->slots) {
        return false;
    }
    const double tokensPerRequest = record.localRunning > 0
        ? static_cast<double>(record.memoryTokens) / record.localRunning
        : requirements.promptTokens + requirements.outputTokens;
    const double otherTokens = (running - std::min(running, record.localRunning)) * tokensPerRequest;
    const double used = static_cast<double>(record.memoryTokens) + otherTokens;
    return used + requirements.promptTokens + requirements.outputTokens
        <= usableMemoryShare * static_cast<double>(requirements.engine->kvCacheTokens)
        || running == 0;
}

std::optional<scored_backend> backend_selector::select(const std::vector<backend_record *> &candidates,
                                                       const backend_requirements &requirements,
                                                       steady_time now) const
{
    std::vector<scored_backend> available;
    for (backend_record *record : candidates) {
        if (isEligible(*record, requirements) && hasCapacity(*record, requirements, now)
            && record->failures.avoidedUntil() <= now) {
            available.push_back(score(*record, requirements, now));
        }
    }
    if (available.empty()) {
        return std::nullopt;
    }
    preferCached(available, requirements, now);
    const runner_choice &choice = requirements.engine == nullptr ? *m_rules.plainChoice : *m_rules.choice;
    return available[choice.choose(available, m_random)];
}

void backend_selector::preferCached(std::vector<scored_backend> &available,
                                    const backend_requirements &requirements,
                                    steady_time now) const
{
    const prompt_part *part = requirements.prompt == nullptr ? nullptr : sharedPart(*requirements.prompt);
    if (part == nullptr || requirements.engine == nullptr) {
        return;
    }
    double running = 0.0;
    double trust = 0.0;
    for (const scored_backend &each : available) {
        running += each.running;
        trust += m_rules.load->trust(*each.record, now);
    }
    const auto count = static_cast<double>(available.size());
    const double allowance = 1.0 + (m_rules.preferredAllowance - 1.0) * trust / count;
    const double limit = allowance + m_rules.preferredLoadLimit * running / count;
    // Rendezvous hashing: all VMs prefer the same runner for a part without communication, so that it is prefilled
    // on few runners.
    scored_backend *preferred = nullptr;
    for (scored_backend &each : available) {
        if (each.running <= limit
            && (preferred == nullptr
                || affinity(*part, preferred->record->entry.id) < affinity(*part, each.record->entry.id))) {
            preferred = &each;
        }
    }
    if (preferred != nullptr) {
        preferred->cost -=
            preferredRunnerGain * toMilliseconds(m_prefillSpeed.timeFor(requirements.model, part->tokens));
    }
}

scored_backend
backend_selector::score(backend_record &record, const backend_requirements &requirements, steady_time now) const
{
    const double running = m_rules.load->running(record, now);
    const double timeFactor = m_speeds.timeFactor(record.process(), now);
    double wait = 0.0;
    if (requirements.engine != nullptr) {
        const std::uint32_t cached =
            requirements.prompt == nullptr ? 0 : record.prompts.cachedTokens(*requirements.prompt, now);
        const std::uint32_t missing = requirements.promptTokens - std::min(requirements.promptTokens, cached);
        const double prefillMilliseconds = toMilliseconds(m_prefillSpeed.timeFor(requirements.model, missing));
        wait = toMilliseconds(record.prefillTime) + prefillMilliseconds
            + running * (millisecondsPerRunningRequest + prefillInterference * prefillMilliseconds);
    } else {
        const double slots = std::max(1U, record.entry.slots);
        wait = plainServiceMilliseconds * (1.0 + running / slots);
    }
    wait *= record.slowdownFactor(now);
    if (requirements.engine != nullptr) {
        wait *= timeFactor;
    } else {
        // The choice weights runners by the exponential of the cost: of equally busy runners, each gets requests in
        // proportion to its speed. A factor on the wait would leave the slow ones idle until the others are full.
        wait += costScaleMilliseconds * std::log(timeFactor);
    }
    const double networkCost = networkCostMilliseconds(record.entry.availabilityZone);
    scored_backend result;
    result.record = &record;
    result.running = running;
    result.slots = requirements.engine != nullptr ? requirements.engine->slots : record.entry.slots;
    result.expectedDelay = fromSeconds((wait + networkCost) / 1000.0);
    result.cost = wait + networkCost + failurePenaltyMilliseconds * record.failures.failureRate(now);
    return result;
}

double backend_selector::networkCostMilliseconds(const std::string &availabilityZone) const
{
    if (availabilityZone == m_location.availabilityZone) {
        return 0.0;
    }
    const auto region = m_location.regions.find(availabilityZone);
    const bool isSameRegion = region != m_location.regions.end() && region->second == m_location.region;
    return isSameRegion ? otherZoneMilliseconds : otherRegionMilliseconds;
}

} // namespace crocuslane
