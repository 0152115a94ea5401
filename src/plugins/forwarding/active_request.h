#pragma once

#include "kernel/forward_types.h"
#include "kernel/types.h"
#include "services/route_source.h"

#include <optional>
#include <set>

namespace crocuslane {

/// One attempt of a forwarded request at a runner, in progress.
struct active_attempt {
    attempt_number number = 0;
    runner_id runner;
    std::string version;
    steady_time started;
    /// When the runner last sent something. At the start of the attempt, a time in the future that leaves the runner
    /// several times its expected delay.
    steady_time lastActivity;
    bool hasEvent = false;
    /// The caller had events of another attempt when this one started.
    bool isContinuation = false;
    runner_answer_pointer answer;
    forward_answer_head head;
};

/// A forwarded request from its arrival to the end of the answer.
struct active_request {
    forward_request request;
    route_match match;
    service_id service;
    const engine_description *engine = nullptr;
    /// Model that the router chose; empty when the caller names the model.
    std::string model;
    /// Prompt parts whose ids are salted with the model, because models don't share cached prompt parts.
    std::vector<prompt_part> prompt;
    steady_time arrivedAt;
    steady_time deadline;
    /// When the request was last queued for lack of a runner with free capacity.
    steady_time queuedAt;
    /// Added to the Retry-After: time until the limits of the runners let the request start, or part of the backlog.
    duration limitDelay{};
    std::optional<active_attempt> current;
    /// Runners that are not tried again before the others.
    std::set<runner_id> triedRunners;
    std::set<runner_id> runnersSentTo;
    unsigned attempts = 0;
    /// Attempts that may have run: neither did the runner state that it did not run the request, nor did the connection
    /// fail before the request was sent.
    unsigned attemptsThatMayHaveRun = 0;
    /// Runners whose connection was lost before the answer was under way.
    unsigned lostRunners = 0;
    /// The request has an isolated prompt part and is sent to find out whether that part still crashes runners.
    bool isProbe = false;
    /// The caller has received the head of a streamed answer.
    bool hasStreamBegun = false;
    bool hasEvent = false;
    /// The caller has received an event without a number, so that no runner can continue the stream.
    bool hasUnnumberedEvent = false;
    steady_time firstEventAt;
    /// Longest time between two events.
    duration longestPause{};
    std::optional<unsigned> confidence;
    /// Number of the last event that the caller has received.
    std::optional<std::uint64_t> lastEvent;
    /// Error answer of a runner; sent to the caller when no other attempt succeeds.
    runner_answer_pointer failureAnswer;

    /// Empty for a request without the key of an organisation.
    organisation_id organisation() const
    {
        return match.organisation == nullptr ? organisation_id() : match.organisation->id;
    }

    const forward_route &route() const
    {
        return *match.route;
    }
};

} // namespace crocuslane
