#pragma once

#include "kernel/types.h"

#include <string>
#include <vector>

namespace crocuslane {

enum class observation_kind {
    /// A fault began; text names it.
    fault,
    /// A caller sent a request to a VM.
    sent,
    /// A VM started to serve a new request; number is its configuration version.
    served,
    /// A plain service ran a call; text is the idempotency key.
    call_run,
    /// A runner got an attempt; version is the model version, number the first token asked for.
    attempt_run,
    /// A caller got a token; number is its index, text its content.
    token,
    /// A caller got the end of an answer.
    answered,
    refused,
    /// A publication was answered as accepted; number is the version.
    accepted,
    /// A VM took a version into force; number is the version, text the configuration.
    in_force,
    /// A bill was stored in the log.
    bill_logged,
    /// A VM's sum of bills at the end; number is the count.
    bills_counted,
    /// More than one VM holds a duty; text names them.
    two_holders,
    /// A runner is marked as leaving.
    leaving,
    stop_requested,
    /// A process ended; number is how many answers it broke off.
    stopped,
    killed,
};

/// What a caller, a backend server or the log saw. Checkers read nothing else.
struct observation {
    observation_kind kind = observation_kind::sent;
    steady_time at;
    /// VM and incarnation, "vm0.1".
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

/// One line, time in seconds since the start.
std::string toText(const observation &seen);

} // namespace crocuslane
