#pragma once

#include "base/clock.h"
#include "base/text_id.h"
#include "configuration/configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocuslane {

/// Number of an attempt, unique within one process life.
using attempt_number = std::uint64_t;
using log_offset = std::uint64_t;

/// What the system knows about whether a refused or failed request was executed.
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
    /// Seconds after which a repeat may succeed; 0 when not known.
    double retryAfterSeconds = 0.0;
};

/// A model request as read by the edge; the body itself stays at the edge.
struct model_request {
    request_id request;
    /// SHA-256 of the caller's key, hexadecimal; empty when none was given.
    std::string callerKeyHash;
    service_id service;
    /// Set when the caller names one version.
    std::optional<version_id> wantedVersion;
    kind_id kind;
    std::string sessionToken;
    std::uint32_t promptTokens = 0;
    std::uint32_t maximumTokens = 0;
    /// Tokens that the caller already has from another entry VM.
    std::uint32_t resumeFrom = 0;
    /// Hashes of the growing prefixes of the prompt, one per block of 64 tokens.
    std::vector<std::uint64_t> prefixHashes;
};

/// A call to a plain service as read by the edge; the body itself stays at the edge.
struct service_call {
    request_id request;
    std::string callerKeyHash;
    service_id service;
    operation_id operation;
    std::string idempotencyKey;
    /// SHA-256 of the body: a repeated key with another body is refused.
    std::string bodyHash;
};

/// Who sent a request, resolved from the key.
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

/// Why an attempt ended without a whole answer.
enum class attempt_failure {
    /// The connection could not be made; nothing was sent.
    not_sent,
    /// Refused by the backend server before running.
    rejected,
    /// The connection ended or went silent after the request was sent.
    connection_lost,
    /// The backend server answered with an error after running.
    failed,
    cancelled,
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

/// One line of the VM list.
struct vm_entry {
    std::string id;
    vm_role role = vm_role::entry;
    service_id service;
    /// "ip:port" for callers, or for this router's requests to a backend server.
    std::string address;
    /// "ip:port" for other entry VMs; empty for backend servers.
    std::string peerAddress;
    std::string availabilityZone;
    std::string region;
    backend_state state = backend_state::live;
    /// Whether the backend server refuses orders with an old fencing number.
    bool checksFencing = false;
};

/// Load of a runner as it reported it.
struct runner_load {
    runner_id runner;
    std::uint32_t slots = 0;
    std::uint32_t slotsUsed = 0;
    std::uint32_t queued = 0;
    /// Versions in memory.
    std::vector<version_id> versions;
    /// Age of the figures when they were read.
    duration age{};
    backend_state state = backend_state::live;
};

struct cache_event {
    std::uint64_t sequence = 0;
    std::uint64_t prefixHash = 0;
    bool evicted = false;
};

struct log_record {
    log_offset offset = 0;
    std::string id;
    /// When the log service stored it; non-decreasing with the offset.
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

/// One bill; readers count the first record of a request id only.
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

/// Identity and place of this process, from its settings.
struct node_identity {
    vm_id id;
    /// Differs for each start of a process with the same id.
    std::uint64_t incarnation = 0;
    std::string availabilityZone;
    std::string region;
    /// "address:port" for callers and for other entry VMs.
    std::string callerAddress;
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
