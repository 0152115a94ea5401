#pragma once

#include "base/clock.h"
#include "base/random_source.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocuslane {

/// A request to send, with the length of the answer that it asks for.
struct planned_request {
    /// Kind of a model request, or name of the operation of a plain service.
    std::string kind;
    std::string key;
    std::string path;
    /// Empty for model requests and repeatable operations.
    std::string idempotencyKey;
    std::string service;
    std::string prompt;
    std::uint32_t answerTokens = 0;
    bool isModelRequest = false;
    bool isStreaming = false;
};

/// Rate and mix of the requests.
struct load_shape {
    double requestsPerSecond = 20.0;
    /// In each period, the rate rises to this multiple within swingRamp and falls back later.
    double swingFactor = 4.0;
    duration swingPeriod = std::chrono::seconds(20);
    duration swingRamp = std::chrono::seconds(2);
    /// Factor applied to the expected answer lengths of the configuration text.
    double tokenScale = 1.0;
    double streamedShare = 0.8;
};

/// Generates random requests for a deployment, from its configuration text: kinds of model requests with shares by
/// their class, and caller groups in proportion to their rate limits. Each group uses its development key "dev-GROUP".
class load_plan
{
public:
    /// Throws std::runtime_error when the file can't be read or has no kind of model request or no caller group.
    load_plan(const std::string &configurationFile, load_shape shape, random_source &random);

    planned_request next();
    /// Requests per second at the time @p sinceStart.
    double rate(duration sinceStart) const;
    /// Random time until the next arrival of a Poisson process with the rate at @p sinceStart.
    duration nextGap(duration sinceStart);

private:
    struct kind_entry {
        std::string name;
        std::string service;
        double share = 0.0;
        std::uint32_t expectedTokens = 0;
    };
    struct operation_entry {
        std::string name;
        std::string service;
        bool isRepeatable = false;
    };
    struct group_entry {
        std::string key;
        double weight = 0.0;
        std::vector<std::string> services;
    };

    void read(const std::string &configurationFile);
    const group_entry &drawGroup(const std::string &service);
    planned_request drawModelRequest(double position);
    planned_request drawCall();
    std::uint32_t drawAnswerTokens(const kind_entry &kind);

    load_shape m_shape;
    random_source &m_random;
    std::vector<kind_entry> m_kinds;
    std::vector<operation_entry> m_operations;
    std::vector<group_entry> m_groups;
    double m_kindShares = 0.0;
    std::uint64_t m_sequence = 0;
};

} // namespace crocuslane
