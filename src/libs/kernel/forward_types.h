#pragma once

#include "base/clock.h"
#include "base/text_id.h"
#include "kernel/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Types of forwarded requests, which reach backend servers as callers sent them, and of their configuration.
namespace crocuslane {

/// Whether and how a request may be repeated.
enum class route_kind {
    /// The request may run more than once.
    idempotent,
    /// The request runs at most once.
    non_idempotent,
    /// The answer is a stream of events; the request runs at most once.
    stream,
    /// The answer is a stream of events that another runner can continue after the last event received.
    resumable_stream,
};

/// Whether a request of this kind may be sent again after it may have run.
bool isRepeatable(route_kind kind);
bool isStream(route_kind kind);
std::string_view toName(route_kind kind);

/// Weight with which a route's requests are distributed to a service.
struct service_share {
    service_id service;
    double weight = 1.0;
};

/// Configuration of the requests to one host below one path.
struct forward_route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    route_kind kind = route_kind::idempotent;
    /// Time limit from the arrival of a request to the end of its answer.
    duration timeout{};
    /// Service-level objective: the time within which an answer, or the first event of a stream, should arrive.
    duration objective{};
    /// Target for the longest pause between two events of a stream; zero when not configured.
    duration eventInterval{};
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Models that may serve the route, smallest first; empty when callers name the model.
    std::vector<model_id> models;
    std::vector<service_share> services;
    /// Number of runners that one request may be sent to, one after the other.
    unsigned maximumAttempts = 1;
    bool isAnonymous = false;
    /// Regions whose runners may serve the requests; empty for all.
    std::set<std::string> homeRegions;
};

/// Capacity of each runner of a service that runs a model engine.
struct engine_description {
    unsigned slots = 0;
    /// Size of the engine's key-value cache.
    std::uint64_t kvCacheTokens = 0;
    /// Number of tokens in one event of a stream.
    unsigned tokensPerEvent = 1;
};

struct forward_service {
    service_id id;
    /// Number of connections that a runner accepts from all clients together.
    unsigned maximumConnections = 0;
    std::optional<engine_description> engine;
    /// Requests per second that a cold runner takes from all entry VMs together; 0 for no limit.
    double coldRequestsPerSecond = 0.0;
    /// How long a runner is cold after its start.
    duration coldTime{};
};

struct forward_organisation {
    organisation_id id;
    std::vector<std::string> keys;
    /// Takes precedence over the priority of the route.
    std::optional<unsigned> priority;
    /// Regions whose runners may serve the requests; empty for all. Those of the route hold too.
    std::set<std::string> homeRegions;
};

/// One version of the operators' configuration for forwarded requests.
struct forward_configuration {
    std::uint64_t version = 0;
    std::vector<forward_route> routes;
    std::vector<forward_service> services;
    std::vector<forward_organisation> organisations;
    /// False when no organisation is configured; requests need no key then.
    bool needsKeys = false;
    std::uint64_t maximumBodyBytes = 0;
    /// Fields that are ignored because they have an invalid value, for the log.
    std::vector<std::string> invalidFields;
};

/// Part of a prompt. Parts with equal ids have equal text, so that a runner's cache can reuse them.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// The properties of a forwarded request that decisions depend on. The edge keeps its header and body.
struct forward_request {
    request_id request;
    /// Hash of the caller's key, the method, host, path with query, and body: equal for a request that comes again
    /// under another id.
    std::uint64_t fingerprint = 0;
    std::string host;
    /// Without the query.
    std::string path;
    std::string callerKey;
    /// How long the caller waits for the answer, as stated in its request; zero when not stated.
    duration callerTimeout{};
    /// Model that the caller names; empty when the router selects one.
    std::string model;
    std::vector<prompt_part> prompt;
    std::uint32_t promptTokens = 0;
    std::uint32_t maximumTokens = 0;
    /// The caller's estimate of the answer's length in tokens.
    std::optional<std::uint32_t> expectedTokens;
    std::string session;
    /// Number of the last event that the caller received when it asked before.
    std::optional<std::uint64_t> resumeAfter;
};

/// Load of a runner as it reports it with an answer.
struct reported_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// Ratio of the current duration of a unit of work to its usual duration.
    double slowdownFactor = 1.0;
};

/// What an answer says about the rate of requests that its runner takes.
struct stated_rate_limit {
    /// From all entry VMs together; empty when the answer states no limit that can be read.
    std::optional<double> requestsPerSecond;
    /// The beginning of a statement that can't be read.
    std::string unreadable;
};

/// Whether a runner says in an answer that it is about to end.
struct stated_leaving {
    bool isLeaving = false;
    /// The beginning of a statement that can't be read.
    std::string unreadable;
};

/// The attempt that an answer names.
enum class answer_identity {
    /// No attempt.
    none,
    own,
    /// Another attempt, or several.
    other,
};

std::string_view toName(answer_identity identity);

/// What the decision code needs of the head of a runner's answer.
struct forward_answer_head {
    std::uint32_t status = 0;
    answer_identity identity = answer_identity::none;
    /// The runner reports that it did not run the request. Set only for an answer that names this attempt.
    bool isNotRun = false;
    /// The answer comes from another runner, which now has the address. Set only for an answer that names this attempt.
    bool isMisdirected = false;
    /// The answer was made by a runner, and for this attempt.
    bool isGenuine = false;
    /// The answer is a success whose body is a series of events.
    bool isEventStream = false;
    /// The runner closes the connection after this answer; it may be about to stop.
    bool isClosing = false;
    /// The model's confidence in its answer, 0 to 100.
    std::optional<unsigned> confidence;
    std::optional<reported_load> load;
    stated_rate_limit rateLimit;
    stated_leaving leaving;
    /// How long the runner stays cold; empty when the answer doesn't state it.
    std::optional<duration> coldLeft;
};

/// A runner's answer with header and body, defined by the edge. The decision code only returns it in actions.
class runner_answer;
using runner_answer_pointer = std::shared_ptr<const runner_answer>;

enum class backend_condition {
    ready,
    leaving,
};

/// Entry of the platform's list of runners.
struct backend_entry {
    runner_id id;
    service_id service;
    /// "ip:port"
    std::string address;
    std::string availabilityZone;
    /// Version of the runner's software.
    std::string version;
    unsigned slots = 0;
    backend_condition condition = backend_condition::ready;
    /// Start time of the process; differs for each start under the same id. 0 when the platform doesn't state it.
    std::int64_t startedUnixMilliseconds = 0;
    /// Grows with each report of the process; starts anew with the process. 0 when the platform doesn't state it.
    std::uint64_t sequence = 0;
    /// The process is cold until then, as far as it states; the beginning of the clock when it doesn't.
    steady_time coldUntil = {};
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

/// An operator's order to move a service to another software version.
struct rollout_order {
    service_id service;
    std::string target;
    /// Time within which the roll-out must be completed.
    duration limit{};
    /// Position of the order in the log of orders.
    std::uint64_t position = 0;
    /// Epoch of the platform's log that the position belongs to.
    log_epoch epoch = 0;
};

/// Phase of a roll-out as recorded in the platform's log.
struct rollout_record {
    service_id service;
    std::string target;
    /// rollout_order::position
    std::uint64_t orderPosition = 0;
    rollout_phase phase = rollout_phase::canary;
};

} // namespace crocuslane
