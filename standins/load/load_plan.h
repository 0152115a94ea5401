#pragma once

#include "base/clock.h"
#include "base/random_source.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocuslane {

/// One request to send, with what a whole answer to it holds.
struct planned_request {
    /// Kind of a model request, or operation of a plain service.
    std::string kind;
    std::string key;
    std::string path;
    std::string idempotencyKey;
    /// Service that a model request names.
    std::string service;
    std::string prompt;
    std::uint32_t answerTokens = 0;
    bool isModelRequest = false;
    bool isStreaming = false;
};

struct load_shape {
    double requestsPerSecond = 20.0;
    /// Within each period, demand rises by this factor within swingRamp and falls back.
    double swingFactor = 4.0;
    duration swingPeriod = std::chrono::seconds(20);
    duration swingRamp = std::chrono::seconds(2);
    /// Factor of the answer lengths in the configuration text.
    double tokenScale = 1.0;
    double streamedShare = 0.8;
};

/// Draws the mix of requests of a deployment, as read from the operators' text: shares by class of the kinds, caller
/// groups by their bounds. A development key "dev-GROUP" stands for each group.
class load_plan
{
public:
    /// Throws std::runtime_error when the file can't be read or names no model service.
    load_plan(const std::string &configurationFile, load_shape shape, random_source &random);

    planned_request next();
    /// Requests per second at @p sinceStart.
    double rate(duration sinceStart) const;
    /// Time to the next arrival of a Poisson process.
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
