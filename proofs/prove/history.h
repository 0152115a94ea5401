#pragma once

#include "kernel/types.h"

#include <string>
#include <vector>

namespace crocuslane {

enum class observation_kind {
    /// A fault began; text is its name.
    fault,
    /// A caller sent a request to a VM.
    sent,
    /// A VM started to serve a new request; number is its configuration version.
    served,
    /// A plain service executed a call; text is the idempotency key.
    call_run,
    /// A runner received an attempt; version is the model version, number the index of the first requested token.
    attempt_run,
    /// A caller received a token; number is its index, text its content.
    token,
    /// A caller received the end of an answer.
    answered,
    /// A VM refused a request; execution and code are those of the error, text is the idempotency key.
    refused,
    /// A VM answered that a publication was accepted; number is the version.
    accepted,
    /// A VM activated a configuration; number is its version, text the configuration.
    in_force,
    /// A bill was stored in the log.
    bill_logged,
    /// Number of bills of an organisation that a VM counted by the end of the history.
    bills_counted,
    /// More than one VM holds the lease of a duty; text lists their ids.
    two_holders,
    /// A runner is marked as leaving.
    leaving,
    stop_requested,
    /// A process ended after a planned stop; number is how many answers it interrupted, text lists their requests.
    stopped,
    killed,
};

/// An event as seen by a caller, a backend server or the log. The checkers have no other input.
struct observation {
    observation_kind kind = observation_kind::sent;
    steady_time at;
    /// VM and incarnation, such as "vm0.1".
    std::string process;
    std::string request;
    std::string organisation;
    std::string version;
    std::string runner;
    std::string text;
    std::uint64_t number = 0;
    execution_state execution = execution_state::unknown;
    error_code code = error_code::internal;
};

using history = std::vector<observation>;

/// Describes an observation in one line, with the time in seconds since the start.
std::string toText(const observation &observed);

} // namespace crocuslane
