#pragma once

#include "kernel/forward_types.h"
#include "kernel/peer_message.h"
#include "kernel/types.h"

#include <set>
#include <variant>

/// Everything that the edge carries out for the decision code.
namespace crocuslane {

/// Sends a model request to a runner. The edge adds the body of @c request.
struct start_attempt {
    attempt_number attempt = 0;
    request_id request;
    runner_id runner;
    std::string address;
    version_id version;
    std::uint32_t resumeFrom = 0;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Ends the attempt when no token came for this long.
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

/// Ends an attempt; no event of it follows.
struct cancel_attempt {
    attempt_number attempt = 0;
};

/// First part of an answer: which version serves it.
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

/// Whole answer of a plain service or of an operators' call.
struct answer_call {
    request_id request;
    std::uint32_t status = 200;
    std::string body;
};

/// Reads a stream from an offset on, for good; log_records_read events follow.
struct follow_stream {
    std::string stream;
    log_offset from = 0;
};

struct append_record {
    std::string stream;
    /// Chosen by the sender; the log service keeps it with the record.
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

/// The runners whose load and cache events the edge shall query; replaces the earlier set.
struct watch_runners {
    struct entry {
        runner_id runner;
        std::string address;
    };
    std::vector<entry> runners;
};

/// Desired state of a runner; safe to repeat.
struct order_runner {
    runner_id runner;
    std::string address;
    log_offset fencing = 0;
    std::set<version_id> versions;
};

/// Sends a forwarded request to a runner. The edge adds header and body of @c request.
struct start_forward {
    attempt_number attempt = 0;
    request_id request;
    runner_id runner;
    std::string address;
    /// Empty when the request has no known key.
    organisation_id organisation;
    /// Time that the runner may take.
    duration timeLeft{};
    /// Model to name in place of the caller's; empty for the caller's own.
    std::string model;
    /// 0 is the most urgent; nothing for the runner's default.
    std::optional<unsigned> priority;
    /// The runner continues after this event.
    std::optional<std::uint64_t> resumeAfter;
    bool isStream = false;
};

/// Sends a runner's whole answer to the caller.
struct deliver_answer {
    request_id request;
    runner_answer_pointer answer;
};

/// Sends the head of a runner's answer; events follow.
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

/// Closes the caller's connection so that the answer does not look whole.
struct abort_stream {
    request_id request;
};

/// The router's own answer to a forwarded request.
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
};

struct refuse_forward {
    request_id request;
    refusal_reason reason = refusal_reason::no_runner;
    /// When the caller may come back; zero for no advice.
    duration retryAfter{};
};

/// Asks the platform to record a state of a roll-out, unless its log has grown beyond @c expectedEnd.
struct record_rollout {
    rollout_record record;
    log_offset expectedEnd = 0;
};

/// One line of the log on a decision.
struct log_decision {
    std::string_view event;
    request_id request;
    /// Inputs and outcome.
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/// All work is done and handed over; the process may exit.
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
