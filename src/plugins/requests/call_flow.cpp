#include "plugins/requests/call_flow.h"

#include "plugins/requests/request_gate.h"

namespace crocuslane {

namespace {

constexpr std::chrono::seconds callTimeout{10};
constexpr double busyRetrySeconds = 1.0;

} // namespace

call_flow::call_flow(flow_environment &environment)
    : m_environment(environment)
{
}

std::optional<request_error> call_flow::check(const service_call &call, const caller &caller, bool &isRepeatable) const
{
    const std::shared_ptr<const configuration> current = m_environment.services.configuration->current();
    const auto service = current->services.find(call.service);
    if (service == current->services.end() || service->second.type != service_type::plain) {
        return notRun(error_code::unknown_service, "there is no plain service " + call.service.value());
    }
    const auto operation = current->operations.find(call.operation);
    if (operation == current->operations.end() || operation->second.service != call.service) {
        return notRun(error_code::unknown_service,
                      "service " + call.service.value() + " has no operation " + call.operation.value());
    }
    const auto organisation = current->organisations.find(caller.organisation);
    if (organisation == current->organisations.end() || !organisation->second.allowedServices.contains(call.service)) {
        return notRun(error_code::forbidden, "the organisation may not use service " + call.service.value());
    }
    isRepeatable = operation->second.repeatable;
    if (!isRepeatable && call.idempotencyKey.empty()) {
        return notRun(error_code::idempotency_key_required,
                      "operation " + call.operation.value() + " needs an Idempotency-Key");
    }
    if (!isRepeatable && !m_environment.services.claims) {
        return notRun(error_code::log_unavailable, "this process cannot claim calls that may not be repeated");
    }
    if (!m_environment.services.picker || !m_environment.services.picker->hasRunner(call.service, {})) {
        return notRun(error_code::no_capacity, "no instance of the service is known", busyRetrySeconds);
    }
    return std::nullopt;
}

void call_flow::receive(const service_call &call, const caller &caller, action_list &actions)
{
    bool isRepeatable = false;
    if (std::optional<request_error> error = check(call, caller, isRepeatable)) {
        const bool hasKey = !isRepeatable && !call.idempotencyKey.empty();
        actions.push_back(refuse_request{call.request, hasKey ? beforeClaim(std::move(*error)) : std::move(*error)});
        return;
    }
    admission_grant grant;
    if (m_environment.services.admission) {
        auto admitted = m_environment.services.admission->admit(call.request, caller, call.service, 0);
        if (auto *error = std::get_if<request_error>(&admitted)) {
            error->execution = execution_state::not_run;
            actions.push_back(
                refuse_request{call.request, isRepeatable ? std::move(*error) : beforeClaim(std::move(*error))});
            return;
        }
        grant = std::get<admission_grant>(admitted);
    }
    run &run = m_runs[call.request];
    run.call = call;
    run.from = caller;
    run.isRepeatable = isRepeatable;
    run.grant = grant;
    if (isRepeatable) {
        enqueue(run);
        return;
    }
    m_environment.services.claims->claim(call, caller);
}

void call_flow::decideClaim(const claim_decided &decision, action_list &actions)
{
    const auto found = m_runs.find(decision.request);
    if (found == m_runs.end() || found->second.hasClaimGrant) {
        return;
    }
    run &run = found->second;
    switch (decision.verdict) {
    case claim_verdict::granted:
        run.hasClaimGrant = true;
        if (run.isAbandoned) {
            endUnsent(run, {}, actions);
            return;
        }
        enqueue(run);
        return;
    case claim_verdict::stored:
        answer(run, decision.status, decision.body, actions);
        return;
    case claim_verdict::unknown:
        end(run,
            {decision.reason, execution_state::unknown, "the call was claimed before; it is not repeated", 0.0},
            actions);
        return;
    case claim_verdict::refused:
        end(run,
            beforeClaim({decision.reason, execution_state::not_run, "the claim of the key was refused", 0.0}),
            actions);
        return;
    }
}

void call_flow::enqueue(run &run)
{
    const request_id request = run.call.request;
    std::string lane = "call\n" + run.call.service.value();
    if (!run.tried.empty()) {
        // Runners that were tried are excluded for this call only, so others must not wait with it.
        lane += '\n' + request.value();
    }
    const queue_position position{
        run.grant.tier, request_class::interactive, run.attemptsStarted > 0, run.grant.virtualStart};
    m_environment.deadlines.set(request, m_environment.now() + queueLimit(request_class::interactive));
    m_environment.isDispatchWanted = true;
    m_environment.enqueued.push_back(request);
    if (const std::optional<request_id> displaced = m_environment.queue.push(request, lane, position)) {
        m_environment.displaced.push_back(*displaced);
    }
}

pick_request call_flow::pickRequest(const run &run) const
{
    pick_request pick;
    pick.request = run.call.request;
    pick.service = run.call.service;
    pick.work.urgency = request_class::interactive;
    pick.excluded = run.tried;
    pick.maySpill = true;
    return pick;
}

dispatch_result call_flow::tryStart(const request_id &request, action_list &actions)
{
    const auto found = m_runs.find(request);
    if (found == m_runs.end()) {
        return dispatch_result::taken;
    }
    run &run = found->second;
    if (run.attemptsStarted == 0 && !m_environment.isFresh()) {
        endUnsent(run,
                  notRun(error_code::configuration_unconfirmed,
                         "this entry VM can no longer confirm that its configuration is the newest"),
                  actions);
        return dispatch_result::taken;
    }
    runner_picker &picker = *m_environment.services.picker;
    pick_request pick = pickRequest(run);
    std::optional<runner_choice> choice = picker.pick(pick);
    if (!choice && !pick.excluded.empty()) {
        pick.excluded.clear();
        choice = picker.pick(pick);
    }
    if (!choice) {
        return dispatch_result::waiting;
    }
    // Directly before the send: a process that was paused since the grant must not send any more.
    if (!run.isRepeatable && !m_environment.services.claims->confirmSend(request)) {
        end(run, notRun(error_code::log_unavailable, "the claim was granted too late to send the call"), actions);
        return dispatch_result::taken;
    }
    const attempt_number number = ++m_environment.lastAttempt;
    run.attempt = number;
    run.tried.insert(choice->runner);
    ++run.attemptsStarted;
    ++run.attemptsThatMayHaveRun;
    m_requestByAttempt.emplace(number, request);
    m_environment.deadlines.clear(request);
    picker.attemptStarted(number, pick, choice->runner);
    actions.push_back(start_call{number, request, choice->runner, choice->address, callTimeout});
    m_environment.context.timeline.record(timeline_kind::attempt_started, request, "runner=" + choice->runner.value());
    return dispatch_result::taken;
}

void call_flow::dropFromQueue(const request_id &request, action_list &actions)
{
    const auto found = m_runs.find(request);
    if (found != m_runs.end()) {
        endUnsent(found->second,
                  {error_code::no_capacity, executionOf(found->second), "the queue is full", busyRetrySeconds},
                  actions);
    }
}

void call_flow::expire(const request_id &request, action_list &actions)
{
    const auto found = m_runs.find(request);
    if (found != m_runs.end() && m_environment.queue.contains(request)) {
        endUnsent(found->second,
                  {error_code::no_capacity,
                   executionOf(found->second),
                   "no instance of the service became free in time",
                   busyRetrySeconds},
                  actions);
    }
}

void call_flow::abandon(const request_id &request, action_list &actions)
{
    const auto found = m_runs.find(request);
    if (found == m_runs.end()) {
        return;
    }
    run &run = found->second;
    run.isAbandoned = true;
    const bool isQueued = m_environment.queue.contains(request);
    if (!run.isRepeatable && !isQueued) {
        // The claim is undecided or the call is running: its outcome must still be recorded for a repeat of the key.
        return;
    }
    if (run.attempt) {
        actions.push_back(cancel_attempt{*run.attempt});
        m_environment.services.picker->attemptEnded(*run.attempt, attempt_failure::cancelled);
        m_requestByAttempt.erase(*run.attempt);
        m_environment.isDispatchWanted = true;
    }
    endUnsent(run, {}, actions);
}

void call_flow::receiveAnswer(const call_answered &answered, action_list &actions)
{
    run *run = runOfAttempt(answered.attempt);
    if (!run) {
        return;
    }
    m_environment.services.picker->attemptEnded(answered.attempt, std::nullopt);
    m_requestByAttempt.erase(answered.attempt);
    m_environment.isDispatchWanted = true;
    if (!run->isRepeatable) {
        m_environment.services.claims->recordOutcome(run->call.request, answered.status, answered.body);
    }
    answer(*run, answered.status, answered.body, actions);
}

void call_flow::failAttempt(attempt_number attempt, attempt_failure failure, action_list &actions)
{
    run *run = runOfAttempt(attempt);
    if (!run) {
        return;
    }
    m_environment.services.picker->attemptEnded(attempt, failure);
    m_requestByAttempt.erase(attempt);
    m_environment.isDispatchWanted = true;
    run->attempt.reset();
    if (run->isRepeatable) {
        retryOrEnd(*run, failure, actions);
    } else {
        endClaimedCall(*run, failure, actions);
    }
}

void call_flow::retryOrEnd(run &run, attempt_failure failure, action_list &actions)
{
    const bool isCertainlyNotRun = failure == attempt_failure::not_sent || failure == attempt_failure::rejected;
    if (isCertainlyNotRun) {
        --run.attemptsThatMayHaveRun;
    }
    run.hasCertainlyRun = run.hasCertainlyRun || failure == attempt_failure::failed;
    const bool isPermitted =
        run.attemptsStarted < maximumAttempts && (isCertainlyNotRun || m_environment.services.picker->spendRetry());
    if (isPermitted) {
        enqueue(run);
        return;
    }
    end(run,
        {error_code::backend_failed,
         executionOf(run),
         "the service failed (" + std::string(toName(failure)) + ") and no retry is left",
         busyRetrySeconds},
        actions);
}

void call_flow::endClaimedCall(run &run, attempt_failure failure, action_list &actions)
{
    if (failure == attempt_failure::not_sent) {
        endUnsent(run, notRun(error_code::backend_failed, "no connection to the service; nothing was sent"), actions);
        return;
    }
    m_environment.services.claims->recordOutcome(run.call.request, 0, {});
    const execution_state execution =
        failure == attempt_failure::failed ? execution_state::ran : execution_state::unknown;
    end(run,
        {error_code::not_repeated,
         execution,
         "the answer of the service was lost (" + std::string(toName(failure)) + "); the call is not repeated",
         0.0},
        actions);
}

execution_state call_flow::executionOf(const run &run) const
{
    if (run.hasCertainlyRun) {
        return execution_state::ran;
    }
    return run.attemptsThatMayHaveRun > 0 ? execution_state::unknown : execution_state::not_run;
}

void call_flow::endUnsent(run &run, request_error error, action_list &actions)
{
    if (run.hasClaimGrant) {
        m_environment.services.claims->recordNotRun(run.call.request);
    }
    end(run, std::move(error), actions);
}

void call_flow::end(run &run, request_error error, action_list &actions)
{
    const request_id request = run.call.request;
    if (!run.isAbandoned) {
        m_environment.context.timeline.record(timeline_kind::request_refused,
                                              request,
                                              "code=" + std::string(toName(error.code))
                                                  + " execution=" + std::string(toName(error.execution)));
        actions.push_back(refuse_request{request, std::move(error)});
    }
    erase(request);
}

void call_flow::answer(run &run, std::uint32_t status, const std::string &body, action_list &actions)
{
    const request_id request = run.call.request;
    if (!run.isAbandoned) {
        actions.push_back(answer_call{request, status, body});
    }
    erase(request);
}

void call_flow::erase(const request_id &request)
{
    if (m_environment.services.admission) {
        m_environment.services.admission->release(request);
    }
    m_environment.queue.remove(request);
    m_environment.deadlines.clear(request);
    m_runs.erase(request);
}

call_flow::run *call_flow::runOfAttempt(attempt_number attempt)
{
    const auto found = m_requestByAttempt.find(attempt);
    return found == m_requestByAttempt.end() ? nullptr : &m_runs.at(found->second);
}

bool call_flow::contains(const request_id &request) const
{
    return m_runs.contains(request);
}

std::size_t call_flow::size() const
{
    return m_runs.size();
}

} // namespace crocuslane
