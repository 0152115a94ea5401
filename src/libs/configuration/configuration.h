#pragma once

#include "base/text_id.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocuslane {

enum class service_type {
    model,
    plain,
};

/// Urgency of a kind of request; also the order in which waiting requests are served.
enum class request_class {
    interactive,
    standard,
    batch,
};

enum class version_state {
    /// Takes new sessions and requests.
    active,
    /// Takes a share of new sessions, as set by its roll-out stage.
    canary,
    /// Takes requests of its existing sessions only.
    draining,
    /// Takes no new request at all.
    withdrawn,
};

struct service_settings {
    service_id id;
    service_type type = service_type::model;
    /// Services whose failure makes this one fail; for display and for the overload view.
    std::vector<service_id> dependsOn;
    /// Models that may answer, for a model service.
    std::vector<model_id> models;
    /// Requests in progress on one runner at a time, for a plain service.
    std::uint32_t slotsPerRunner = 8;
};

struct operation_settings {
    operation_id id;
    service_id service;
    /// False: runs at most once per idempotency key.
    bool repeatable = false;
};

struct kind_settings {
    kind_id id;
    service_id service;
    /// Mean rating that the answers must reach, 0 to 1.
    double qualityTarget = 0.0;
    request_class urgency = request_class::standard;
    /// First estimate of the length of an answer, in tokens.
    std::uint32_t expectedTokens = 200;
};

struct model_settings {
    model_id id;
    /// Cost of 1,000 tokens in millionths of the operators' currency unit.
    std::uint64_t inputCost = 0;
    std::uint64_t outputCost = 0;
};

struct version_settings {
    version_id id;
    model_id model;
    version_state state = version_state::active;
    /// Share of new sessions of the model for a canary, in percent.
    double canaryPercent = 0.0;
    /// Version that a canary is to replace.
    std::optional<version_id> replaces;
};

struct organisation_settings {
    organisation_id id;
    /// Versions that its requests may run on.
    std::set<version_id> allowedVersions;
    std::set<service_id> allowedServices;
};

struct caller_group_settings {
    caller_group_id id;
    organisation_id organisation;
    /// Bound over all entry VMs.
    double requestsPerSecond = 0.0;
    /// Bound on prompt and answer tokens of requests in progress, over all entry VMs.
    std::uint64_t tokensInFlight = 0;
    /// SHA-256 of each key, hexadecimal.
    std::set<std::string> keyHashes;
    bool isOperator = false;
};

/// The operators' text after it was read and checked.
struct configuration {
    std::map<service_id, service_settings> services;
    std::map<operation_id, operation_settings> operations;
    std::map<kind_id, kind_settings> kinds;
    std::map<model_id, model_settings> models;
    std::map<version_id, version_settings> versions;
    std::map<organisation_id, organisation_settings> organisations;
    std::map<caller_group_id, caller_group_settings> callerGroups;
    std::map<std::string, caller_group_id> groupsByKeyHash;
    /// Text that this was read from.
    std::string text;
};

} // namespace crocuslane
