#pragma once

#include "base/random_source.h"
#include "harness/deployment.h"

namespace crocuslane {

/// One kind of request. Prompt and answer lengths in tokens are log-normal, clamped to 1 and the maximum.
struct kind_parameters {
    std::string id;
    request_class urgency = request_class::standard;
    /// Share of all requests.
    double share = 0.0;
    double medianPromptTokens = 200.0;
    double medianAnswerTokens = 100.0;
    /// Standard deviation of the logarithm of the length.
    double promptSigma = 0.4;
    double answerSigma = 0.4;
    std::uint32_t maximumAnswerTokens = 8000;
    /// Whether measurements count the kind as long.
    bool isLong = false;
};

struct workload_parameters {
    std::vector<kind_parameters> kinds;
    unsigned organisations = 10;
    /// Exponent of the Zipf distribution of requests over organisations.
    double organisationSkew = 1.0;
    /// Tokens of instructions at the start of all requests of one organisation and kind.
    std::uint32_t sharedPromptTokens = 256;
    /// Share of the requests that continue an earlier one, with its prompt and answer as prefix.
    double continuationShare = 0.3;
    std::uint32_t maximumPromptTokens = 16'000;
    double requestsPerSecond = 10.0;
    duration length = std::chrono::seconds(60);
};

/// Mixes of request kinds of the two users; setUtilization() sets their rates.
workload_parameters rimalWorkload();
workload_parameters ironworksWorkload();

struct simulated_request {
    request_id id;
    /// Since the start of the run.
    duration arrival{};
    std::size_t vm = 0;
    std::size_t kind = 0;
    unsigned organisation = 0;
    /// Key hash that identifies the caller group, as in fixed_services.
    std::string callerKeyHash = "key";
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    std::uint64_t contentHash = 0;
    std::vector<std::uint64_t> prefixHashes;
};

std::vector<simulated_request>
makeWorkload(const workload_parameters &parameters, const deployment_parameters &deployment, std::uint64_t seed);

/// Maximum number of tokens per second that the runners generate, with all slots in use.
double tokenCapacity(const deployment_parameters &deployment);
/// Mean time in seconds that a request occupies a slot of a full runner.
double meanSlotSeconds(const workload_parameters &parameters, const deployment_parameters &deployment);
/// Sets the request rate so that requests occupy @p share of all slots on average.
void setUtilization(workload_parameters &parameters, const deployment_parameters &deployment, double share);

} // namespace crocuslane
