#include "plugins/forwarding/request_log.h"

#include <fmt/format.h>

namespace crocuslane {

namespace {

std::string milliseconds(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

// The last part is left out: it is the request's own.
std::string sharedPartsText(const std::vector<prompt_part> &prompt)
{
    constexpr std::size_t maximumLoggedParts = 8;
    std::string text;
    for (std::size_t index = 0; index + 1 < prompt.size() && index < maximumLoggedParts; ++index) {
        text += fmt::format("{}{:x}", index == 0 ? "" : ",", prompt[index].id);
    }
    return text;
}

std::string_view meaningOfRefusal(const forward_answer_head &head)
{
    if (head.isMisdirected) {
        return "other_runner_at_address";
    }
    if (head.isNotRun) {
        return "not_run";
    }
    return head.isGenuine ? "no_event_stream" : "answer_not_genuine";
}

} // namespace

log_decision requestHeldLine(const request_id &request, bool isConfigurationRead)
{
    return {"request_held", request, {{"waits_for", isConfigurationRead ? "list_of_runners" : "configuration"}}};
}

log_decision attemptStartedLine(const active_request &active, const backend_choice &choice, duration timeLeft)
{
    log_decision line{"attempt_started",
                      active.request.request,
                      {{"attempt", std::to_string(active.attempts)},
                       {"runner", choice.runner.value()},
                       {"version", choice.version},
                       {"model", active.model},
                       {"expected_ms", milliseconds(choice.expectedDelay)},
                       {"left_ms", milliseconds(timeLeft)}}};
    if (choice.rateLimit) {
        line.fields.emplace_back("limit_per_s", fmt::format("{:g}", choice.rateLimit->requestsPerSecond));
        line.fields.emplace_back("limit_age_ms", milliseconds(choice.rateLimit->age));
    }
    return line;
}

log_decision attemptRefusedLine(const active_request &active, const forward_answer_head &head)
{
    return {"attempt_refused",
            active.request.request,
            {{"runner", active.current->runner.value()},
             {"status", std::to_string(head.status)},
             {"meaning", std::string(meaningOfRefusal(head))},
             {"names_attempt", std::string(toName(head.identity))}}};
}

log_decision attemptFailedLine(const active_request &active, attempt_failure failure, steady_time now)
{
    return {"attempt_failed",
            active.request.request,
            {{"runner", active.current->runner.value()},
             {"failure", std::string(toName(failure))},
             {"had_events", active.current->hasEvent ? "true" : "false"},
             {"milliseconds", milliseconds(now - active.current->started)},
             {"fingerprint", fmt::format("{:x}", active.request.fingerprint)},
             {"parts", sharedPartsText(active.request.prompt)}}};
}

log_decision answerEscalatedLine(const active_request &active, const backend_choice &choice)
{
    return {"answer_escalated",
            active.request.request,
            {{"confidence", std::to_string(active.current->head.confidence.value_or(0))},
             {"to", active.model},
             {"expected_ms", milliseconds(choice.expectedDelay)}}};
}

log_decision startTooLateLine(const active_request &active, duration delay, duration timeLeft)
{
    return {"start_too_late",
            active.request.request,
            {{"service", active.service.value()},
             {"organisation", active.organisation().value()},
             {"priority", std::to_string(active.match.priority())},
             {"predicted_ms", milliseconds(delay)},
             {"queue_left_ms", milliseconds(timeLeft)}}};
}

log_decision silentRunnerLeftLine(const active_request &active, const backend_choice &next)
{
    return {"silent_runner_left",
            active.request.request,
            {{"runner", active.current->runner.value()},
             {"next", next.runner.value()},
             {"had_events", active.current->hasEvent ? "true" : "false"}}};
}

log_decision requestFinishedLine(const active_request &active, std::string_view outcome, steady_time now)
{
    log_decision line{"request_finished",
                      active.request.request,
                      {{"outcome", std::string(outcome)},
                       {"attempts", std::to_string(active.attempts)},
                       {"milliseconds", milliseconds(now - active.arrivedAt)}}};
    if (active.match.route == nullptr) {
        return line;
    }
    line.fields.emplace_back("route", active.route().name);
    line.fields.emplace_back("service", active.service.value());
    line.fields.emplace_back("model", active.model);
    line.fields.emplace_back("priority", std::to_string(active.match.priority()));
    if (active.confidence) {
        line.fields.emplace_back("confidence", std::to_string(*active.confidence));
    }
    if (active.hasStreamBegun) {
        line.fields.emplace_back("first_event_ms", milliseconds(active.firstEventAt - active.arrivedAt));
        line.fields.emplace_back("longest_pause_ms", milliseconds(active.longestPause));
    }
    line.fields.emplace_back("configuration", std::to_string(active.match.configuration->version));
    std::string runners;
    for (const runner_id &runner : active.triedRunners) {
        runners += (runners.empty() ? "" : ",") + runner.value();
    }
    line.fields.emplace_back("runners", std::move(runners));
    if (active.lostRunners > 0) {
        line.fields.emplace_back("lost_runners", std::to_string(active.lostRunners));
        line.fields.emplace_back("fingerprint", fmt::format("{:x}", active.request.fingerprint));
    }
    return line;
}

std::string requestDescription(const active_request &active, steady_time now)
{
    std::string text = fmt::format("{} age_ms={} attempts={} left_ms={}",
                                   active.request.request.value(),
                                   milliseconds(now - active.arrivedAt),
                                   active.attempts,
                                   milliseconds(active.deadline - now));
    if (active.lastEvent) {
        text += fmt::format(" last_event={}", *active.lastEvent);
    }
    if (active.current) {
        text += fmt::format(
            " runner={} heard_ms={}", active.current->runner.value(), milliseconds(now - active.current->lastActivity));
    }
    return text;
}

} // namespace crocuslane
