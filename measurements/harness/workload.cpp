#include "harness/workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>

#include <xxhash.h>

namespace crocuslane {

namespace {

constexpr std::size_t maximumConversations = 400;

double drawStandardNormal(random_source &random)
{
    const double radius = std::sqrt(-2.0 * std::log(1.0 - random.unit()));
    constexpr double fullTurn = 6.283185307179586;
    return radius * std::cos(fullTurn * random.unit());
}

std::uint32_t drawLogNormal(random_source &random, double median, double sigma, std::uint32_t maximum)
{
    const double value = median * std::exp(sigma * drawStandardNormal(random));
    return static_cast<std::uint32_t>(std::clamp(value, 1.0, static_cast<double>(maximum)));
}

std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second)
{
    const std::array<std::uint64_t, 2> values{first, second};
    return XXH3_64bits(values.data(), sizeof(values));
}

/// A prompt as a chain of cache-block hashes, so that requests with the same beginning get the same prefix hashes.
struct conversation {
    std::size_t kind = 0;
    unsigned organisation = 0;
    std::vector<std::uint64_t> blocks;
    std::uint32_t tokens = 0;
};

void extend(conversation &conversation, std::uint32_t tokens, std::uint64_t content)
{
    conversation.tokens += tokens;
    while ((conversation.blocks.size() + 1) * tokensPerCacheBlock <= conversation.tokens) {
        const std::uint64_t previous = conversation.blocks.empty() ? 0 : conversation.blocks.back();
        conversation.blocks.push_back(combineHashes(previous, content));
    }
}

template<typename weights>
std::size_t drawIndex(const weights &cumulative, random_source &random)
{
    const double point = random.unit() * cumulative.back();
    return static_cast<std::size_t>(std::upper_bound(cumulative.begin(), cumulative.end(), point) - cumulative.begin());
}

} // namespace

workload_parameters rimalWorkload()
{
    workload_parameters parameters;
    parameters.kinds = {{"species-check", request_class::interactive, 0.62, 250, 24, 0.4, 0.4, 200, false},
                        {"seedling-care", request_class::standard, 0.30, 500, 140, 0.4, 0.4, 800, false},
                        {"survey-review", request_class::batch, 0.08, 3000, 900, 0.5, 0.7, 8000, true}};
    return parameters;
}

workload_parameters ironworksWorkload()
{
    workload_parameters parameters;
    parameters.kinds = {{"condition-tag", request_class::interactive, 0.50, 200, 12, 0.4, 0.4, 100, false},
                        {"counter-question", request_class::interactive, 0.42, 400, 110, 0.4, 0.4, 600, false},
                        {"restoration-plan", request_class::standard, 0.08, 2500, 800, 0.5, 0.7, 8000, true}};
    return parameters;
}

std::vector<simulated_request>
makeWorkload(const workload_parameters &parameters, const deployment_parameters &deployment, std::uint64_t seed)
{
    seeded_random random(seed);
    std::vector<double> kindWeights;
    for (const kind_parameters &kind : parameters.kinds) {
        kindWeights.push_back((kindWeights.empty() ? 0.0 : kindWeights.back()) + kind.share);
    }
    std::vector<double> organisationWeights;
    for (unsigned index = 0; index < parameters.organisations; ++index) {
        organisationWeights.push_back((index == 0 ? 0.0 : organisationWeights.back())
                                      + 1.0 / std::pow(index + 1.0, parameters.organisationSkew));
    }
    std::vector<simulated_request> requests;
    std::deque<conversation> conversations;
    double seconds = 0.0;
    while (true) {
        seconds -= std::log(1.0 - random.unit()) / parameters.requestsPerSecond;
        if (seconds >= toSeconds(parameters.length)) {
            return requests;
        }
        conversation prompt;
        if (!conversations.empty() && random.unit() < parameters.continuationShare) {
            prompt = conversations[random.below(conversations.size())];
        } else {
            prompt.kind = drawIndex(kindWeights, random);
            prompt.organisation = static_cast<unsigned>(drawIndex(organisationWeights, random));
            extend(prompt, parameters.sharedPromptTokens, combineHashes(prompt.kind, prompt.organisation));
        }
        const kind_parameters &kind = parameters.kinds[prompt.kind];
        simulated_request request;
        request.contentHash = random.next();
        extend(prompt,
               drawLogNormal(random, kind.medianPromptTokens, kind.promptSigma, parameters.maximumPromptTokens),
               request.contentHash);
        request.id = request_id("q" + std::to_string(requests.size()));
        request.arrival = fromSeconds(seconds);
        request.vm = random.below(deployment.vms.size());
        request.kind = prompt.kind;
        request.organisation = prompt.organisation;
        request.promptTokens = prompt.tokens;
        request.answerTokens =
            drawLogNormal(random, kind.medianAnswerTokens, kind.answerSigma, kind.maximumAnswerTokens);
        request.prefixHashes = prompt.blocks;
        requests.push_back(request);
        if (prompt.tokens + request.answerTokens < parameters.maximumPromptTokens) {
            extend(prompt, request.answerTokens, request.contentHash + 1);
            conversations.push_back(std::move(prompt));
            if (conversations.size() > maximumConversations) {
                conversations.pop_front();
            }
        }
    }
}

double tokenCapacity(const deployment_parameters &deployment)
{
    const engine_settings &engine = deployment.engine;
    const double secondsPerToken =
        toSeconds(engine.tokenTime) * (1.0 + engine.slowdownPerRequest * (engine.slots - 1.0));
    return static_cast<double>(deployment.runners.size()) * engine.slots / secondsPerToken;
}

double meanSlotSeconds(const workload_parameters &parameters, const deployment_parameters &deployment)
{
    // Estimated from a sample, because the prompts of continued conversations have no simple mean.
    workload_parameters sample = parameters;
    sample.requestsPerSecond = 100.0;
    sample.length = std::chrono::seconds(100);
    const engine_settings &engine = deployment.engine;
    const double slowdown = 1.0 + engine.slowdownPerRequest * (engine.slots - 1.0);
    double seconds = 0.0;
    const std::vector<simulated_request> requests = makeWorkload(sample, deployment, 1);
    constexpr double uncachedShare = 0.7;
    for (const simulated_request &request : requests) {
        seconds += slowdown
            * (toSeconds(engine.prefillTime) * uncachedShare * request.promptTokens
               + toSeconds(engine.tokenTime) * request.answerTokens);
    }
    return seconds / static_cast<double>(requests.size());
}

void setUtilization(workload_parameters &parameters, const deployment_parameters &deployment, double share)
{
    const double slots = static_cast<double>(deployment.runners.size()) * deployment.engine.slots;
    parameters.requestsPerSecond = share * slots / meanSlotSeconds(parameters, deployment);
}

} // namespace crocuslane
