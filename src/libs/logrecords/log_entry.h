#pragma once

#include "kernel/types.h"

#include <string>
#include <variant>
#include <vector>

namespace crocuslane {

/// Publication of a configuration text that replaces a given version.
struct publication_entry {
    std::uint64_t replacesVersion = 0;
    request_id request;
    vm_id vm;
    std::uint64_t incarnation = 0;
    std::string text;
    /// SHA-256 of the text, hexadecimal.
    std::string textHash;
};

/// A version of the configuration that includes all records up to and including offset @c asOf.
struct snapshot_entry {
    std::uint64_t version = 0;
    log_offset asOf = 0;
    std::string text;
    std::string textHash;
};

/// Identity of a call that must run at most once.
struct claim_key {
    organisation_id organisation;
    operation_id operation;
    /// As sent by the caller.
    std::string idempotencyKey;

    // NOLINTNEXTLINE(modernize-use-nullptr): the check reports the zero in the defaulted operator as a null pointer.
    auto operator<=>(const claim_key &other) const = default;
};

/// The request by which one process claims a key; distinguishes the claims of the same key.
struct claimant {
    vm_id vm;
    std::uint64_t incarnation = 0;
    request_id request;
    /// Number of the claim within the process; needed because a caller may reuse a request id.
    std::uint64_t number = 0;

    auto operator<=>(const claimant &other) const = default;
};

/// Claim of a key, appended before the call is sent to a runner.
struct claim_entry {
    claim_key key;
    claimant by;
    std::string bodyHash;
};

/// Outcome of a call whose claim was granted.
struct outcome_entry {
    claim_key key;
    claimant by;
    execution_state execution = execution_state::unknown;
    std::uint32_t status = 0;
    std::string body;
};

/// Application for the lease of a duty.
struct lease_entry {
    std::string duty;
    vm_id vm;
    std::uint64_t incarnation = 0;
    /// Number of the application, unique within the process.
    std::uint64_t ticket = 0;
    /// Fencing token of the previous lease; 0 when there is none.
    log_offset replaces = 0;
    std::uint32_t durationMilliseconds = 0;
};

using log_entry = std::variant<publication_entry, snapshot_entry, claim_entry, outcome_entry, lease_entry, bill>;

} // namespace crocuslane
