#include "plugins/requests/call_flow.h"

#include "plugins/requests/request_checks.h"

namespace crocuslane {

namespace {

constexpr std::chrono::seconds callTimeout{10};
constexpr double busyRetryAfterSeconds = 1.0;

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
        return notRun(error_code::forbidden, "the organisation is not allowed to use service " + call.service.value());
    }
    isRepeatable = operation->second.repeatable;
    if (!isRepeatable && call.idempotencyKey.empty()) {
        return notRun(error_code::idempotency_key_required,
                      "operation " + call.operation.value() + " needs an Idempotency-Key");
    }
    if (!isRepeatable && !m_environment.services.claims) {
        return notRun(error_code::log_unavailable,
                      "this process runs without claims, which an operation that may not be repeated needs");
    }
    if (!m_environment.services.picker || !m_environment.services.picker->hasRunner(call.service, {})) {
        return notRun(error_code::no_capacity, "the service has no live instance", busyRetryAfterSeconds);
    }
    return std::nullopt;
}

void call_flow::receive(const service_call &call, const caller &caller, action_list &actions)
{
    bool isRepeatable = false;
    if (std::optional<request_error> error = check(call, caller, isRepeatable)) {
        const bool hasKey = !isRepeatable && !call.idempotencyKey.empty();
        actions.push_back(
            refuse_request{call.request, hasKey ? refusedBeforeClaim(std::move(*error)) : std::move(*error)});
        return;
    }
    admission_grant admissionGrant;
    if (m_environment.services.admission) {
        auto admitted = m_environment.services.admission->admit(call.request, caller, call.service, 0);
        if (auto *error = std::get_if<request_error>(&admitted)) {
            error->execution = execution_state::not_run;
            actions.push_back(
                refuse_request{call.request, isRepeatable ? std::move(*error) : refusedBeforeClaim(std::move(*error))});
            return;
        }
        admissionGrant = std::get<admission_grant>(admitted);
    }
    active_call &active = m_activeCalls[call.request];
    active.call = call;
    active.callerIdentity = caller;
    active.isRepeatable = isRepeatable;
    active.admissionGrant = admissionGrant;
    if (isRepeatable) {
        enqueue(active);
        return;
    }
    m_environment.services.claims->claim(call, caller);
}

void call_flow::handleClaimDecision(const claim_decided &decision, action_list &actions)
{
    const auto found = m_activeCalls.find(decision.request);
    if (found == m_activeCalls.end() || found->second.hasClaimGrant) {
        return;
    }
    active_call &active = found->second;
    switch (decision.verdict) {
    case claim_verdict::granted:
        active.hasClaimGrant = true;
        if (active.isAbandoned) {
            endUnsent(active, {}, actions);
            return;
        }
        enqueue(active);
        return;
    case claim_verdict::stored:
        answer(active, decision.status, decision.body, actions);
        return;
    case claim_verdict::unknown:
        endWithError(active,
                     {decision.reason,
                      execution_state::unknown,
                      "a call with this idempotency key may have run before; it is not repeated",
                      0.0},
                     actions);
        return;
    case claim_verdict::refused:
        endWithError(
            active,
            refusedBeforeClaim(
                {decision.reason, execution_state::not_run, "the claim of the idempotency key was refused", 0.0}),
            actions);
        return;
    }
}

void call_flow::enqueue(active_call &active)
{
    const request_id request = active.call.request;
    std::string queueName = "call\n" + active.call.service.value();
    if (!active.triedRunners.empty()) {
        // Tried runners are excluded for this call only. In a queue of its own it doesn't hold up calls that may use
        // them.
        queueName += '\n' + request.value();
    }
    const queue_position position{active.admissionGrant.tier,
                                  request_class::interactive,
                                  active.attemptsStarted > 0,
                                  active.admissionGrant.virtualStart};
    m_environment.deadlines.set(request, m_environment.now() + queueTimeout(request_class::interactive));
    m_environment.isDispatchPending = true;
    m_environment.enqueued.push_back(request);
    if (const std::optional<request_id> displaced = m_environment.queue.push(request, queueName, position)) {
        m_environment.displaced.push_back(*displaced);
    }
}

pick_request call_flow::pickRequest(const active_call &active) const
{
    pick_request pick;
    pick.request = active.call.request;
    pick.service = active.call.service;
    pick.work.urgency = request_class::interactive;
    pick.excluded = active.triedRunners;
    pick.maySpill = true;
    return pick;
}

dispatch_result call_flow::tryStart(const request_id &request, action_list &actions)
{
    const auto found = m_activeCalls.find(request);
    if (found == m_activeCalls.end()) {
        return dispatch_result::taken;
    }
    active_call &active = found->second;
    if (active.attemptsStarted == 0 && !m_environment.isFresh()) {
        endUnsent(active,
                  notRun(error_code::configuration_unconfirmed,
                         "this entry VM can no longer confirm that its configuration is the newest"),
                  actions);
        return dispatch_result::taken;
    }
    runner_picker &picker = *m_environment.services.picker;
    pick_request pick = pickRequest(active);
    std::optional<runner_choice> choice = picker.pick(pick);
    if (!choice && !pick.excluded.empty()) {
        pick.excluded.clear();
        choice = picker.pick(pick);
    }
    if (!choice) {
        return dispatch_result::waiting;
    }
    // Confirmed directly before sending: a process that was paused since the grant must no longer send the
    // call.
    if (!active.isRepeatable && !m_environment.services.claims->confirmSend(request)) {
        endWithError(
            active, notRun(error_code::log_unavailable, "the granted claim is too old to send the call"), actions);
        return dispatch_result::taken;
    }
    const attempt_number number = ++m_environment.lastAttempt;
    active.attempt = number;
    active.triedRunners.insert(choice->runner);
    ++active.attemptsStarted;
    ++active.attemptsThatMayHaveRun;
    m_requestsByAttempt.emplace(number, request);
    m_environment.deadlines.clear(request);
    picker.attemptStarted(number, pick, choice->runner);
    actions.push_back(start_call{number, request, choice->runner, choice->address, callTimeout});
    m_environment.context.timeline.record(timeline_kind::attempt_started, request, "runner=" + choice->runner.value());
    return dispatch_result::taken;
}

void call_flow::dropFromQueue(const request_id &request, action_list &actions)
{
    const auto found = m_activeCalls.find(request);
    if (found != m_activeCalls.end()) {
        endUnsent(found->second,
                  {error_code::no_capacity, executionOf(found->second), "the queue is full", busyRetryAfterSeconds},
                  actions);
    }
}

void call_flow::expire(const request_id &request, action_list &actions)
{
    const auto found = m_activeCalls.find(request);
    if (found != m_activeCalls.end() && m_environment.queue.contains(request)) {
        endUnsent(found->second,
                  {error_code::no_capacity,
                   executionOf(found->second),
                   "no instance of the service became free within the queue timeout",
                   busyRetryAfterSeconds},
                  actions);
    }
}

void call_flow::abandon(const request_id &request, action_list &actions)
{
    const auto found = m_activeCalls.find(request);
    if (found == m_activeCalls.end()) {
        return;
    }
    active_call &active = found->second;
    active.isAbandoned = true;
    const bool isQueued = m_environment.queue.contains(request);
    if (!active.isRepeatable && !isQueued) {
        // The claim is undecided or the call is running: its outcome must still be recorded for a retry with the same
        // key.
        return;
    }
    if (active.attempt) {
        actions.push_back(cancel_attempt{*active.attempt});
        m_environment.services.picker->attemptEnded(*active.attempt, attempt_failure::cancelled);
        m_requestsByAttempt.erase(*active.attempt);
        m_environment.isDispatchPending = true;
    }
    endUnsent(active, {}, actions);
}

void call_flow::receiveAnswer(const call_answered &answered, action_list &actions)
{
    active_call *active = findByAttempt(answered.attempt);
    if (!active) {
        return;
    }
    m_environment.services.picker->attemptEnded(answered.attempt, std::nullopt);
    m_requestsByAttempt.erase(answered.attempt);
    m_environment.isDispatchPending = true;
    if (!active->isRepeatable) {
        m_environment.services.claims->recordOutcome(active->call.request, answered.status, answered.body);
    }
    answer(*active, answered.status, answered.body, actions);
}

void call_flow::failAttempt(attempt_number attempt, attempt_failure failure, action_list &actions)
{
    active_call *active = findByAttempt(attempt);
    if (!active) {
        return;
    }
    m_environment.services.picker->attemptEnded(attempt, failure);
    m_requestsByAttempt.erase(attempt);
    m_environment.isDispatchPending = true;
    active->attempt.reset();
    if (active->isRepeatable) {
        retryOrEnd(*active, failure, actions);
    } else {
        endClaimedCall(*active, failure, actions);
    }
}

void call_flow::retryOrEnd(active_call &active, attempt_failure failure, action_list &actions)
{
    const bool isCertainlyNotRun = failure == attempt_failure::not_sent || failure == attempt_failure::rejected;
    if (isCertainlyNotRun) {
        --active.attemptsThatMayHaveRun;
    }
    active.hasCertainlyRun = active.hasCertainlyRun || failure == attempt_failure::failed;
    const bool isRetryAllowed =
        active.attemptsStarted < maximumAttempts && (isCertainlyNotRun || m_environment.services.picker->spendRetry());
    if (isRetryAllowed) {
        enqueue(active);
        return;
    }
    endWithError(active,
                 {error_code::backend_failed,
                  executionOf(active),
                  "the service failed (" + std::string(toName(failure)) + ") and no further retry is allowed",
                  busyRetryAfterSeconds},
                 actions);
}

void call_flow::endClaimedCall(active_call &active, attempt_failure failure, action_list &actions)
{
    if (failure == attempt_failure::not_sent) {
        endUnsent(
            active, notRun(error_code::backend_failed, "no connection to the service; the call was not sent"), actions);
        return;
    }
    m_environment.services.claims->recordOutcome(active.call.request, 0, {});
    const execution_state execution =
        failure == attempt_failure::failed ? execution_state::ran : execution_state::unknown;
    endWithError(active,
                 {error_code::not_repeated,
                  execution,
                  "the call to the service failed (" + std::string(toName(failure)) + "); it is not repeated",
                  0.0},
                 actions);
}

execution_state call_flow::executionOf(const active_call &active) const
{
    if (active.hasCertainlyRun) {
        return execution_state::ran;
    }
    return active.attemptsThatMayHaveRun > 0 ? execution_state::unknown : execution_state::not_run;
}

void call_flow::endUnsent(active_call &active, request_error error, action_list &actions)
{
    if (active.hasClaimGrant) {
        m_environment.services.claims->recordNotRun(active.call.request);
    }
    endWithError(active, std::move(error), actions);
}

void call_flow::endWithError(active_call &active, request_error error, action_list &actions)
{
    const request_id request = active.call.request;
    if (!active.isAbandoned) {
        m_environment.context.timeline.record(timeline_kind::request_refused,
                                              request,
                                              "code=" + std::string(toName(error.code))
                                                  + " execution=" + std::string(toName(error.execution)));
        actions.push_back(refuse_request{request, std::move(error)});
    }
    erase(request);
}

void call_flow::answer(active_call &active, std::uint32_t status, const std::string &body, action_list &actions)
{
    const request_id request = active.call.request;
    if (!active.isAbandoned) {
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
    m_activeCalls.erase(request);
}

call_flow::active_call *call_flow::findByAttempt(attempt_number attempt)
{
    const auto found = m_requestsByAttempt.find(attempt);
    return found == m_requestsByAttempt.end() ? nullptr : &m_activeCalls.at(found->second);
}

bool call_flow::contains(const request_id &request) const
{
    return m_activeCalls.contains(request);
}

std::size_t call_flow::size() const
{
    return m_activeCalls.size();
}

} // namespace crocuslane
