#pragma once

#include "base/clock.h"
#include "base/text_id.h"
#include "configuration/configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocuslane {

/// Number of an attempt, unique within one run of the process.
using attempt_number = std::uint64_t;
using log_offset = std::uint64_t;
/// Number of times that the log was restored from an older copy. Positions of different epochs can't be compared.
using log_epoch = std::uint64_t;

/// Whether a refused or failed request was executed, as far as the router can tell.
enum class execution_state {
    not_run,
    ran,
    unknown,
};

enum class error_code {
    bad_request,
    unauthenticated,
    forbidden,
    unknown_model,
    unknown_service,
    limit_exceeded,
    no_capacity,
    configuration_unconfirmed,
    session_version_withdrawn,
    session_invalid,
    idempotency_key_required,
    idempotency_key_expired,
    idempotency_key_conflict,
    not_repeated,
    log_unavailable,
    backend_failed,
    bill_pending,
    shutting_down,
    publication_conflict,
    publication_invalid,
    request_in_progress,
    internal,
};

/// Refusal or failure of a request as the caller sees it.
struct request_error {
    error_code code = error_code::internal;
    execution_state execution = execution_state::unknown;
    std::string message;
    /// Seconds after which a retry may succeed; 0 when not known.
    double retryAfterSeconds = 0.0;
};

/// The properties of a model request that decisions depend on. The edge keeps its body.
struct model_request {
    request_id request;
    /// SHA-256 of the caller's key, hexadecimal; empty when the request has no key.
    std::string callerKeyHash;
    service_id service;
    /// Set when the caller names one version.
    std::optional<version_id> wantedVersion;
    kind_id kind;
    std::string sessionToken;
    std::uint32_t promptTokens = 0;
    std::uint32_t maximumTokens = 0;
    /// Number of tokens that the caller already received from another entry VM.
    std::uint32_t resumeFrom = 0;
    /// One hash per block of 64 tokens, of the prompt from its start to the end of that block.
    std::vector<std::uint64_t> prefixHashes;
};

/// The properties of a call to a plain service that decisions depend on. The edge keeps its body.
struct service_call {
    request_id request;
    std::string callerKeyHash;
    service_id service;
    operation_id operation;
    std::string idempotencyKey;
    /// SHA-256 of the body: an idempotency key that is repeated with another body is refused.
    std::string bodyHash;
};

/// Sender of a request, resolved from its key.
struct caller {
    organisation_id organisation;
    caller_group_id group;
};

struct token_usage {
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedPromptTokens = 0;
    std::uint32_t outputTokens = 0;
};

enum class finish_reason {
    stop,
    length,
    refusal,
};

/// Why an attempt ended without a complete answer.
enum class attempt_failure {
    /// No connection could be established, so that nothing was sent.
    not_sent,
    /// The backend server refused the request before running it.
    rejected,
    /// The connection closed or timed out after the request was sent.
    connection_lost,
    /// The backend server answered with an error after running the request.
    failed,
    cancelled,
    /// The answer or one of its events was longer than the limit.
    oversized,
    /// The body was not of the form that the head of the answer states.
    malformed,
};

enum class backend_state {
    live,
    leaving,
};

enum class vm_role {
    entry,
    model,
    plain,
};

/// Entry of the VM list.
struct vm_entry {
    std::string id;
    vm_role role = vm_role::entry;
    service_id service;
    /// "ip:port" at which an entry VM serves callers, or a backend server serves the router.
    std::string address;
    /// "ip:port" at which an entry VM serves other entry VMs; empty for backend servers.
    std::string peerAddress;
    std::string availabilityZone;
    std::string region;
    backend_state state = backend_state::live;
    /// Whether the backend server refuses orders with an outdated fencing token.
    bool checksFencing = false;
};

/// Load of a runner as it reports it to a load query.
struct runner_load {
    runner_id runner;
    std::uint32_t slots = 0;
    std::uint32_t slotsUsed = 0;
    std::uint32_t queued = 0;
    /// Model versions that the runner has in memory.
    std::vector<version_id> versions;
    /// Age of the values when they were read.
    duration age{};
    backend_state state = backend_state::live;
};

/// A runner added a prompt prefix to its cache or evicted one.
struct cache_event {
    std::uint64_t sequence = 0;
    std::uint64_t prefixHash = 0;
    bool evicted = false;
};

struct log_record {
    log_offset offset = 0;
    std::string id;
    /// When the log service stored the record; never decreases from one offset to the next.
    system_time appendTime;
    std::string payload;
};

struct answer_rating {
    request_id request;
    version_id version;
    kind_id kind;
    /// 0 to 1.
    double score = 0.0;
};

/// Bill of one request. The log may have several records of it; readers count only the first one of a request id.
struct bill {
    request_id request;
    organisation_id organisation;
    caller_group_id group;
    service_id service;
    kind_id kind;
    version_id version;
    token_usage usage;
    /// Millionths of the operators' currency unit.
    std::uint64_t cost = 0;
    std::int64_t unixMilliseconds = 0;
};

/// Identity and location of this process, from its settings.
struct node_identity {
    vm_id id;
    /// Differs for each start of a process with the same id.
    std::uint64_t incarnation = 0;
    std::string availabilityZone;
    std::string region;
    /// "address:port" for callers.
    std::string callerAddress;
    /// "address:port" for other entry VMs.
    std::string peerAddress;
};

std::string_view toName(execution_state value);
std::string_view toName(error_code value);
std::string_view toName(finish_reason value);
std::string_view toName(attempt_failure value);
std::string_view toName(backend_state value);
std::string_view toName(vm_role value);
std::optional<vm_role> vmRoleFromName(std::string_view name);
std::optional<backend_state> backendStateFromName(std::string_view name);
std::optional<finish_reason> finishReasonFromName(std::string_view name);

} // namespace crocuslane
