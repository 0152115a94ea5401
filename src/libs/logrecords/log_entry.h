#pragma once

#include "kernel/types.h"

#include <string>
#include <variant>
#include <vector>

namespace crocuslane {

/// A text that is to replace a version of the configuration.
struct publication_entry {
    std::uint64_t replacesVersion = 0;
    request_id request;
    vm_id vm;
    std::uint64_t incarnation = 0;
    std::string text;
    /// SHA-256 of the text, hexadecimal.
    std::string textHash;
};

/// A version of the configuration with all records through @c asOf folded into it.
struct snapshot_entry {
    std::uint64_t version = 0;
    log_offset asOf = 0;
    std::string text;
    std::string textHash;
};

/// Identity of a call that may not be repeated.
struct claim_key {
    organisation_id organisation;
    operation_id operation;
    /// Idempotency key as the caller sent it.
    std::string idempotencyKey;

    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the defaulted operator's zero for a pointer.
    auto operator<=>(const claim_key &other) const = default;
};

/// The request of one process that claims a key. Distinguishes claims of one key.
struct claimant {
    vm_id vm;
    std::uint64_t incarnation = 0;
    request_id request;
    /// Number of the claim within the process: a caller may send a request id again.
    std::uint64_t number = 0;

    auto operator<=>(const claimant &other) const = default;
};

struct claim_entry {
    claim_key key;
    claimant by;
    std::string bodyHash;
};

/// What became of a granted call.
struct outcome_entry {
    claim_key key;
    claimant by;
    execution_state execution = execution_state::unknown;
    std::uint32_t status = 0;
    std::string body;
};

struct lease_entry {
    std::string duty;
    vm_id vm;
    std::uint64_t incarnation = 0;
    /// Number of the application within the process.
    std::uint64_t ticket = 0;
    /// Fencing number of the lease that this one follows; 0 for none.
    log_offset replaces = 0;
    std::uint32_t durationMilliseconds = 0;
};

using log_entry = std::variant<publication_entry, snapshot_entry, claim_entry, outcome_entry, lease_entry, bill>;

} // namespace crocuslane
