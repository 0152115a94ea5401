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

/// Priority class of a kind of request; queued requests are served in this order.
enum class request_class {
    interactive,
    standard,
    batch,
};

enum class version_state {
    /// Takes new sessions and requests.
    active,
    /// Takes the configured share of the model's new sessions.
    canary,
    /// Takes only requests of existing sessions.
    draining,
    /// Takes no new requests.
    withdrawn,
};

struct service_settings {
    service_id id;
    service_type type = service_type::model;
    /// Services whose failure makes this one fail. Informational: doesn't affect routing.
    std::vector<service_id> dependsOn;
    /// Models that may answer requests; for model services only.
    std::vector<model_id> models;
    /// Maximum number of concurrent requests per runner; for plain services only.
    std::uint32_t slotsPerRunner = 8;
};

struct operation_settings {
    operation_id id;
    service_id service;
    /// Whether a call may be executed more than once; if not, it runs at most once per idempotency key.
    bool repeatable = false;
};

struct kind_settings {
    kind_id id;
    service_id service;
    /// Mean rating that answers must reach, 0 to 1.
    double qualityTarget = 0.0;
    request_class urgency = request_class::standard;
    /// Initial estimate of the answer length, in tokens.
    std::uint32_t expectedTokens = 200;
};

struct model_settings {
    model_id id;
    /// Cost of 1,000 prompt tokens, in millionths of the currency unit.
    std::uint64_t inputCost = 0;
    /// Cost of 1,000 answer tokens, in millionths of the currency unit.
    std::uint64_t outputCost = 0;
};

struct version_settings {
    version_id id;
    model_id model;
    version_state state = version_state::active;
    /// A canary's share of the model's new sessions, in percent.
    double canaryPercent = 0.0;
    /// Version that the canary is meant to replace.
    std::optional<version_id> replaces;
};

struct organisation_settings {
    organisation_id id;
    /// Versions that may run requests of the organisation.
    std::set<version_id> allowedVersions;
    std::set<service_id> allowedServices;
};

struct caller_group_settings {
    caller_group_id id;
    organisation_id organisation;
    /// Rate limit over all entry VMs together.
    double requestsPerSecond = 0.0;
    /// Limit of prompt and answer tokens of requests in progress, over all entry VMs together.
    std::uint64_t tokensInFlight = 0;
    /// SHA-256 of each API key, hexadecimal.
    std::set<std::string> keyHashes;
    /// Whether the group may use the operators' interface.
    bool isOperator = false;
};

/// A configuration text after it was parsed and checked.
struct configuration {
    std::map<service_id, service_settings> services;
    std::map<operation_id, operation_settings> operations;
    std::map<kind_id, kind_settings> kinds;
    std::map<model_id, model_settings> models;
    std::map<version_id, version_settings> versions;
    std::map<organisation_id, organisation_settings> organisations;
    std::map<caller_group_id, caller_group_settings> callerGroups;
    std::map<std::string, caller_group_id> groupsByKeyHash;
    /// Text that this configuration was parsed from.
    std::string text;
};

} // namespace crocuslane
