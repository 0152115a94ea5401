#pragma once

#include "kernel/forward_types.h"
#include "kernel/peer_message.h"
#include "kernel/types.h"

#include <set>
#include <variant>

/// Actions that the decision code returns and the edge carries out.
namespace crocuslane {

/// Sends a model request to a runner. The edge adds the body of @c request, which it keeps.
struct start_attempt {
    attempt_number attempt = 0;
    request_id request;
    runner_id runner;
    std::string address;
    version_id version;
    /// Number of tokens that the caller already has; the runner continues after them.
    std::uint32_t resumeFrom = 0;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// The edge ends the attempt when no token arrives for this long.
    duration silenceLimit{};
};

/// Sends a call to a plain service instance.
struct start_call {
    attempt_number attempt = 0;
    request_id request;
    runner_id runner;
    std::string address;
    duration timeout{};
};

/// Cancels an attempt; the edge sends no further event about it.
struct cancel_attempt {
    attempt_number attempt = 0;
};

/// Sends the head of an answer, which names the version that serves it.
struct begin_answer {
    request_id request;
    version_id version;
    std::string sessionToken;
};

struct send_token {
    request_id request;
    std::uint32_t index = 0;
    std::string text;
};

struct finish_answer {
    request_id request;
    finish_reason reason = finish_reason::stop;
    token_usage usage;
};

/// Ends a request with an error, before or after begin_answer.
struct refuse_request {
    request_id request;
    request_error error;
};

/// Sends the complete answer to a call of a plain service or of an operator.
struct answer_call {
    request_id request;
    std::uint32_t status = 200;
    std::string body;
};

/// Starts to read a stream of the log service from an offset on. It is read until the process ends; its records arrive
/// as log_records_read events.
struct follow_stream {
    std::string stream;
    log_offset from = 0;
};

struct append_record {
    std::string stream;
    /// Chosen by the sender and stored with the record.
    std::string recordId;
    std::string payload;
};

struct connect_peer {
    vm_id peer;
    std::string address;
};

struct disconnect_peer {
    vm_id peer;
};

struct send_to_peer {
    vm_id peer;
    peer_message message;
};

/// Sets the runners whose load and cache events the edge queries; replaces the earlier set.
struct watch_runners {
    struct entry {
        runner_id runner;
        std::string address;
    };
    std::vector<entry> runners;
};

/// Orders a runner to load exactly these versions and to unload all others; idempotent.
struct order_runner {
    runner_id runner;
    std::string address;
    /// Fencing token of the sender's lease.
    log_offset fencing = 0;
    std::set<version_id> versions;
};

/// Forwards a request to a runner. The edge adds header and body of @c request, which it keeps.
struct start_forward {
    attempt_number attempt = 0;
    request_id request;
    runner_id runner;
    std::string address;
    /// Empty when the request has no key of a configured organisation.
    organisation_id organisation;
    /// Time until the deadline of the request.
    duration timeLeft{};
    /// Replaces the model that the request names; empty to leave it unchanged.
    std::string model;
    /// 0 is the most urgent; empty for the runner's default.
    std::optional<unsigned> priority;
    /// Number of the last event that the caller has; the runner continues after it.
    std::optional<std::uint64_t> resumeAfter;
    bool isStream = false;
    /// The runner has received the request before. A connection that carried it then may deliver an answer to it once
    /// more.
    bool usesNewConnection = false;
};

/// Sends a runner's complete answer to the caller.
struct deliver_answer {
    request_id request;
    runner_answer_pointer answer;
};

/// Sends the head of a runner's streamed answer to the caller; its events follow as send_stream_event.
struct begin_stream {
    request_id request;
    runner_answer_pointer answer;
};

struct send_stream_event {
    request_id request;
    std::string text;
};

struct finish_stream {
    request_id request;
};

/// Closes the caller's connection in the middle of the answer, so that the caller does not take it as complete.
struct abort_stream {
    request_id request;
};

/// Why the router answers a forwarded request with an error of its own.
enum class refusal_reason {
    no_configuration,
    no_route,
    unknown_key,
    no_runner,
    no_capacity,
    stopping,
    deadline_not_run,
    deadline_may_have_run,
    attempts_exhausted_not_run,
    attempts_exhausted_may_have_run,
    /// The prompt has a part that crashes runners.
    prompt_part_isolated,
    /// The request crashed runners when it came before.
    request_isolated,
    /// The limits of all runners leave the request no time to start.
    runners_at_limit,
    /// All runners that could serve the request are in evacuated availability zones.
    runners_evacuated,
    /// No runner is in a home region of the request's route and organisation.
    no_runner_at_home,
    /// The requests that wait already leave the request no time to start.
    queueing_delay_too_long,
};

struct refuse_forward {
    request_id request;
    refusal_reason reason = refusal_reason::no_runner;
    /// Time after which the caller should retry; zero for none.
    duration retryAfter{};
};

/// Asks the platform to append a phase of a roll-out to its log, on condition that the log still ends at
/// @c expectedEnd.
struct record_rollout {
    rollout_record record;
    log_offset expectedEnd = 0;
};

/// Writes a log line about a decision.
struct log_decision {
    std::string_view event;
    request_id request;
    /// Inputs and outcome of the decision.
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/// Lets the process exit: all work is finished or handed over to other entry VMs.
struct stop_process {
};

using action = std::variant<start_attempt,
                            start_call,
                            cancel_attempt,
                            begin_answer,
                            send_token,
                            finish_answer,
                            refuse_request,
                            answer_call,
                            follow_stream,
                            append_record,
                            connect_peer,
                            disconnect_peer,
                            send_to_peer,
                            watch_runners,
                            order_runner,
                            start_forward,
                            deliver_answer,
                            begin_stream,
                            send_stream_event,
                            finish_stream,
                            abort_stream,
                            refuse_forward,
                            record_rollout,
                            log_decision,
                            stop_process>;

std::string_view toName(refusal_reason reason);

using action_list = std::vector<action>;

} // namespace crocuslane
