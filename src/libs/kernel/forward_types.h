#pragma once

#include "base/clock.h"
#include "base/text_id.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Requests that are passed to backend servers as callers sent them, and what operators say of them.
namespace crocuslane {

/// What may be repeated of a request.
enum class route_kind {
    /// May run more than once.
    idempotent,
    /// Runs at most once.
    non_idempotent,
    /// A stream of events that runs at most once.
    stream,
    /// A stream of events that another runner can continue after the last event received.
    resumable_stream,
};

/// Whether a request of this kind may be sent again after it may have run.
bool isRepeatable(route_kind kind);
bool isStream(route_kind kind);
std::string_view toName(route_kind kind);

struct service_share {
    service_id service;
    double weight = 1.0;
};

/// Requests of one host below one path.
struct forward_route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    route_kind kind = route_kind::idempotent;
    /// Longest time until the end of the answer.
    duration timeout{};
    /// Time within which an answer, or the first event of a stream, has its full value.
    duration objective{};
    /// Longest pause between two events of a stream; zero for none stated.
    duration eventInterval{};
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Models that may serve the route, smallest first; empty when callers name the model.
    std::vector<model_id> models;
    std::vector<service_share> services;
    /// Runners that one request may be sent to.
    unsigned maximumAttempts = 1;
    bool isAnonymous = false;
};

/// Memory and models of a service of model engines.
struct engine_description {
    unsigned slots = 0;
    std::uint64_t kvCacheTokens = 0;
    /// Tokens that one event of a stream holds.
    unsigned tokensPerEvent = 1;
};

struct forward_service {
    service_id id;
    /// Connections that a runner accepts from all callers together.
    unsigned maximumConnections = 0;
    std::optional<engine_description> engine;
};

struct forward_organisation {
    organisation_id id;
    std::vector<std::string> keys;
    /// Goes before the priority of the route.
    std::optional<unsigned> priority;
};

/// One version of the operators' configuration for forwarded requests.
struct forward_configuration {
    std::uint64_t version = 0;
    std::vector<forward_route> routes;
    std::vector<forward_service> services;
    std::vector<forward_organisation> organisations;
    /// Without organisations, requests need no key.
    bool needsKeys = false;
    std::uint64_t maximumBodyBytes = 0;
};

/// Part of a prompt; requests with equal ids share it.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// A caller's request as the decision code sees it. Header and body stay at the edge.
struct forward_request {
    request_id request;
    std::string host;
    /// Without the query.
    std::string path;
    std::string callerKey;
    /// How long the caller waits; zero when it does not say.
    duration callerTimeout{};
    /// Model that the caller names; empty when the router chooses.
    std::string model;
    std::vector<prompt_part> prompt;
    std::uint32_t promptTokens = 0;
    std::uint32_t maximumTokens = 0;
    /// The caller's estimate of the length of the answer.
    std::optional<std::uint32_t> expectedTokens;
    std::string session;
    /// Last event that the caller has of an earlier attempt.
    std::optional<std::uint64_t> resumeAfter;
};

/// Load of a runner as stated in one of its answers.
struct reported_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// Time that work takes now, relative to its usual time.
    double slowdownFactor = 1.0;
};

/// What a runner's answer says before its body.
struct forward_answer_head {
    std::uint32_t status = 0;
    /// The runner states that it did not run the request.
    bool isNotRun = false;
    /// Another runner has the address.
    bool isMisdirected = false;
    /// The answer belongs to this attempt and was made by a runner.
    bool isGenuine = false;
    /// The runner does not keep the connection; it may be leaving.
    bool isClosing = false;
    /// The model's own opinion of its answer, 0 to 100.
    std::optional<unsigned> confidence;
    std::optional<reported_load> load;
};

/// Answer of a runner as the edge holds it, to be handed back in actions.
class runner_answer;
using runner_answer_pointer = std::shared_ptr<const runner_answer>;

enum class backend_condition {
    ready,
    leaving,
};

/// One runner as the platform lists it.
struct backend_entry {
    runner_id id;
    service_id service;
    /// "ip:port"
    std::string address;
    std::string availabilityZone;
    /// Version of its software.
    std::string version;
    unsigned slots = 0;
    backend_condition condition = backend_condition::ready;
    /// Differs for each start under the same id; 0 when not told.
    std::int64_t startedUnixMilliseconds = 0;
};

enum class rollout_phase {
    /// A small share of requests goes to the new version.
    canary,
    /// All new requests go to the new version.
    cutover,
    completed,
    rolled_back,
};

std::string_view toName(rollout_phase phase);

/// Operators' order to move a service to another version.
struct rollout_order {
    service_id service;
    std::string target;
    duration limit{};
    /// Position of the order in the operators' log.
    std::uint64_t position = 0;
};

/// Recorded state of a roll-out.
struct rollout_record {
    service_id service;
    std::string target;
    /// rollout_order::position
    std::uint64_t orderPosition = 0;
    rollout_phase phase = rollout_phase::canary;
};

} // namespace crocuslane
