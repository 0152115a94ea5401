#pragma once

#include "base/random_source.h"
#include "harness/deployment.h"

namespace crocuslane {

/// One kind of request. Lengths are log-normal, cut at the bounds.
struct kind_parameters {
    std::string id;
    request_class urgency = request_class::standard;
    /// Part of all requests.
    double share = 0.0;
    double medianPrompt = 200.0;
    double medianAnswer = 100.0;
    /// Standard deviation of the logarithm of the length.
    double promptSigma = 0.4;
    double answerSigma = 0.4;
    std::uint32_t longestAnswer = 8000;
    /// Whether the kind counts as long in results.
    bool isLong = false;
};

struct workload_parameters {
    std::vector<kind_parameters> kinds;
    unsigned organisations = 10;
    /// Exponent of the Zipf distribution of requests over organisations.
    double organisationSkew = 1.0;
    /// Tokens of instructions that all requests of one organisation and kind begin with.
    std::uint32_t sharedPrompt = 256;
    /// Part of the requests that continue an earlier one, with its prompt and answer as prefix.
    double continuationShare = 0.3;
    std::uint32_t longestPrompt = 16'000;
    double requestsPerSecond = 10.0;
    duration length = std::chrono::seconds(60);
};

/// The mixes of the two users. The rates are set for a part of the deployment's token throughput.
workload_parameters rimalWorkload();
workload_parameters ironworksWorkload();

struct simulated_request {
    request_id id;
    /// Since the start of the run.
    duration arrival{};
    std::size_t vm = 0;
    std::size_t kind = 0;
    unsigned organisation = 0;
    /// Names the caller group, as in fixed_services.
    std::string callerKeyHash = "key";
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    std::uint64_t contentHash = 0;
    std::vector<std::uint64_t> prefixHashes;
};

std::vector<simulated_request>
makeWorkload(const workload_parameters &parameters, const deployment &deployment, std::uint64_t seed);

/// Tokens per second that the runners generate at most, all slots taken.
double tokenCapacity(const deployment &deployment);
/// Slot time of an average request in seconds on a full runner.
double meanSlotSeconds(const workload_parameters &parameters, const deployment &deployment);
/// Sets the rate so that requests take @p share of all slots on average.
void setUtilization(workload_parameters &parameters, const deployment &deployment, double share);

} // namespace crocuslane
