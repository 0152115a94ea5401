#pragma once

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
                            stop_process>;

using action_list = std::vector<action>;

} // namespace crocuslane
