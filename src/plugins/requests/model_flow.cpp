#include "plugins/requests/model_flow.h"

#include "plugins/requests/request_checks.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::chrono::seconds billTimeout{2};
constexpr double busyRetryAfterSeconds = 1.0;

std::uint32_t priorityOf(const work_estimate &work)
{
    const auto priority = static_cast<std::uint32_t>(work.urgency);
    return work.isLong ? std::max(priority, static_cast<std::uint32_t>(request_class::batch)) : priority;
}

// True for failures that certainly happened before the backend server ran anything.
bool isCertainlyNotRun(attempt_failure failure)
{
    return failure == attempt_failure::not_sent || failure == attempt_failure::rejected;
}

} // namespace

model_flow::model_flow(flow_environment &environment)
    : m_environment(environment)
{
}

void model_flow::receive(const model_request &request, const caller &caller, action_list &actions)
{
    request_services &services = m_environment.services;
    // A request that continues an answer of another entry VM has already run in part.
    const execution_state executionIfRefused = request.resumeFrom > 0 ? execution_state::ran : execution_state::not_run;
    if (!services.versions || !services.picker) {
        actions.push_back(
            refuse_request{request.request,
                           {error_code::internal, executionIfRefused, "this process runs without model routing", 0.0}});
        return;
    }
    auto chosen = services.versions->choose(request, caller);
    if (auto *error = std::get_if<request_error>(&chosen)) {
        error->execution = executionIfRefused;
        actions.push_back(refuse_request{request.request, std::move(*error)});
        return;
    }
    const work_estimate work = services.picker->estimate(request);
    admission_grant admissionGrant;
    if (services.admission) {
        const std::uint64_t tokens = std::uint64_t{work.promptTokens} + work.outputTokens;
        auto admitted = services.admission->admit(request.request, caller, request.service, tokens);
        if (auto *error = std::get_if<request_error>(&admitted)) {
            error->execution = executionIfRefused;
            actions.push_back(refuse_request{request.request, std::move(*error)});
            return;
        }
        admissionGrant = std::get<admission_grant>(admitted);
    }
    active_request &active = m_activeRequests[request.request];
    active.request = request;
    active.callerIdentity = caller;
    active.candidates = std::move(std::get<version_candidates>(chosen));
    active.work = work;
    active.admissionGrant = admissionGrant;
    active.nextTokenIndex = request.resumeFrom;
    m_environment.context.timeline.record(
        timeline_kind::request_admitted, request.request, "group=" + caller.group.value());
    selectVersionWithRunner(active);
    enqueue(active, false);
}

const version_id &model_flow::versionOf(const active_request &active) const
{
    return active.candidates.versions[active.candidateIndex];
}

bool model_flow::hasForwardedTokens(const active_request &active) const
{
    return active.nextTokenIndex > active.request.resumeFrom;
}

execution_state model_flow::executionOf(const active_request &active) const
{
    if (active.nextTokenIndex > 0 || active.hasCertainlyRun) {
        return execution_state::ran;
    }
    return active.attemptsThatMayHaveRun > 0 ? execution_state::unknown : execution_state::not_run;
}

pick_request model_flow::pickRequest(const active_request &active) const
{
    pick_request pick;
    pick.request = active.request.request;
    pick.service = active.request.service;
    pick.version = versionOf(active);
    pick.work = active.work;
    pick.prefixHashes = active.request.prefixHashes;
    pick.excluded = active.triedRunners;
    pick.maySpill = active.work.urgency != request_class::batch;
    return pick;
}

void model_flow::selectVersionWithRunner(active_request &active)
{
    const auto &versions = active.candidates.versions;
    for (std::size_t index = 0; index < versions.size(); ++index) {
        if (m_environment.services.picker->hasRunner(active.request.service, versions[index])) {
            active.candidateIndex = index;
            return;
        }
    }
}

void model_flow::enqueue(active_request &active, bool isContinuation)
{
    const request_id request = active.request.request;
    std::string queueName =
        active.request.service.value() + '\n' + versionOf(active).value() + (active.work.isLong ? "\nlong" : "\n");
    if (!active.triedRunners.empty()) {
        // Tried runners are excluded for this request only. In a queue of its own it doesn't hold up requests that may
        // use them.
        queueName += '\n' + request.value();
    }
    const queue_position position{
        active.admissionGrant.tier, active.work.urgency, isContinuation, active.admissionGrant.virtualStart};
    m_environment.deadlines.set(request, m_environment.now() + queueTimeout(active.work.urgency));
    m_environment.isDispatchPending = true;
    m_environment.enqueued.push_back(request);
    const std::optional<request_id> displaced = m_environment.queue.push(request, queueName, position);
    if (displaced) {
        m_environment.displaced.push_back(*displaced);
    }
}

dispatch_result model_flow::tryStart(const request_id &request, action_list &actions)
{
    const auto found = m_activeRequests.find(request);
    if (found == m_activeRequests.end()) {
        return dispatch_result::taken;
    }
    active_request &active = found->second;
    if (active.attemptsStarted == 0 && !m_environment.isFresh()) {
        endWithError(active,
                     {error_code::configuration_unconfirmed,
                      executionOf(active),
                      "this entry VM can no longer confirm that its configuration is the newest",
                      busyRetryAfterSeconds},
                     actions);
        return dispatch_result::taken;
    }
    if (!m_environment.services.versions->mayServe(
            versionOf(active), active.callerIdentity.organisation, active.candidates.isBoundBySession)) {
        if (switchToNextPermittedVersion(active)) {
            enqueue(active, active.attemptsStarted > 0);
            return dispatch_result::taken;
        }
        const bool isBound = active.candidates.isBoundBySession;
        endWithError(active,
                     {isBound ? error_code::session_version_withdrawn : error_code::forbidden,
                      executionOf(active),
                      "version " + versionOf(active).value() + " may no longer serve this request",
                      0.0},
                     actions);
        return dispatch_result::taken;
    }
    pick_request pick = pickRequest(active);
    std::optional<runner_choice> choice = m_environment.services.picker->pick(pick);
    if (!choice && !pick.excluded.empty()) {
        // With few runners, all may have been tried. The picker still avoids those that keep failing.
        pick.excluded.clear();
        choice = m_environment.services.picker->pick(pick);
    }
    if (!choice) {
        return dispatch_result::waiting;
    }
    startAttempt(active, pick, *choice, actions);
    return dispatch_result::taken;
}

// The version may change only before the first token is forwarded, because an answer never mixes versions.
bool model_flow::switchToNextPermittedVersion(active_request &active)
{
    if (active.nextTokenIndex > 0 || active.candidates.isBoundBySession) {
        return false;
    }
    for (std::size_t index = active.candidateIndex + 1; index < active.candidates.versions.size(); ++index) {
        const version_id &version = active.candidates.versions[index];
        if (m_environment.services.versions->mayServe(version, active.callerIdentity.organisation, false)
            && m_environment.services.picker->hasRunner(active.request.service, version)) {
            active.candidateIndex = index;
            active.triedRunners.clear();
            return true;
        }
    }
    return false;
}

void model_flow::startAttempt(active_request &active,
                              const pick_request &pick,
                              const runner_choice &choice,
                              action_list &actions)
{
    runner_picker &picker = *m_environment.services.picker;
    const request_id &request = active.request.request;
    const attempt_number number = ++m_environment.lastAttempt;
    active.attempts.push_back({number, choice.runner, m_environment.now(), std::nullopt});
    active.triedRunners.insert(choice.runner);
    ++active.attemptsThatMayHaveRun;
    ++active.attemptsStarted;
    m_requestsByAttempt.emplace(number, request);
    picker.attemptStarted(number, pick, choice.runner);
    actions.push_back(start_attempt{number,
                                    request,
                                    choice.runner,
                                    choice.address,
                                    pick.version,
                                    active.nextTokenIndex,
                                    priorityOf(active.work),
                                    picker.silenceLimit(choice.runner, active.work)});
    m_environment.context.timeline.record(timeline_kind::attempt_started,
                                          request,
                                          "runner=" + choice.runner.value() + " version=" + pick.version.value());
    m_environment.deadlines.clear(request);
    const std::optional<duration> hedgeDelay = picker.hedgeDelay(active.work);
    if (hedgeDelay && !active.hasHedged && !hasForwardedTokens(active)) {
        m_environment.deadlines.set(request, m_environment.now() + *hedgeDelay);
    }
}

void model_flow::expire(const request_id &request, action_list &actions)
{
    const auto found = m_activeRequests.find(request);
    if (found == m_activeRequests.end()) {
        return;
    }
    active_request &active = found->second;
    if (active.isAwaitingBill) {
        endWithError(active,
                     {error_code::bill_pending,
                      execution_state::ran,
                      "the bill is not durable yet; retry with the same request id",
                      1.0},
                     actions);
        return;
    }
    if (m_environment.queue.contains(request)) {
        endWithError(active,
                     {error_code::no_capacity,
                      executionOf(active),
                      "no runner became free within the queue timeout",
                      busyRetryAfterSeconds},
                     actions);
        return;
    }
    hedge(active, actions);
}

void model_flow::hedge(active_request &active, action_list &actions)
{
    // While requests wait in the queue, a second attempt would take a slot that one of them needs.
    if (active.hasHedged || hasForwardedTokens(active) || active.attempts.size() != 1
        || m_environment.queue.size() > 0) {
        return;
    }
    if (!m_environment.services.versions->mayServe(
            versionOf(active), active.callerIdentity.organisation, active.candidates.isBoundBySession)) {
        return;
    }
    pick_request pick = pickRequest(active);
    // A hedge must not add traffic to the link between regions.
    pick.maySpill = false;
    const std::optional<runner_choice> choice = m_environment.services.picker->pick(pick);
    if (!choice || !m_environment.services.picker->spendHedge(active.work)) {
        return;
    }
    active.hasHedged = true;
    m_environment.context.timeline.record(
        timeline_kind::hedged, active.request.request, "runner=" + choice->runner.value());
    startAttempt(active, pick, *choice, actions);
}

void model_flow::dropFromQueue(const request_id &request, action_list &actions)
{
    const auto found = m_activeRequests.find(request);
    if (found != m_activeRequests.end()) {
        endWithError(found->second,
                     {error_code::no_capacity, executionOf(found->second), "the queue is full", busyRetryAfterSeconds},
                     actions);
    }
}

void model_flow::abandon(const request_id &request, action_list &actions)
{
    const auto found = m_activeRequests.find(request);
    if (found == m_activeRequests.end()) {
        return;
    }
    active_request &active = found->second;
    cancelAttempts(active, std::nullopt, actions);
    chargePartialAnswer(active);
    erase(request);
}

void model_flow::receiveToken(const token_received &token, action_list &actions)
{
    active_request *active = findByAttempt(token.attempt);
    if (!active) {
        return;
    }
    m_environment.services.picker->tokenReceived(token.attempt);
    if (token.index < active->nextTokenIndex) {
        return;
    }
    if (token.index > active->nextTokenIndex) {
        // A token is missing. The answer must have no gap, so it is continued by another attempt.
        actions.push_back(cancel_attempt{token.attempt});
        failAttempt(token.attempt, attempt_failure::connection_lost, actions);
        return;
    }
    if (active->attempts.size() > 1) {
        cancelAttempts(*active, token.attempt, actions);
    }
    attempt &attempt = active->attempts.front();
    if (!attempt.firstToken) {
        attempt.firstToken = m_environment.now();
        m_environment.deadlines.clear(active->request.request);
    }
    beginAnswer(*active, actions);
    actions.push_back(send_token{active->request.request, token.index, token.text});
    ++active->nextTokenIndex;
}

void model_flow::beginAnswer(active_request &active, action_list &actions)
{
    if (active.hasBegun) {
        return;
    }
    active.hasBegun = true;
    const version_id &version = versionOf(active);
    actions.push_back(
        begin_answer{active.request.request,
                     version,
                     m_environment.services.versions->sessionToken(active.request, active.callerIdentity, version)});
    m_environment.context.timeline.record(
        timeline_kind::first_token, active.request.request, "version=" + version.value());
}

void model_flow::finishAttempt(const attempt_finished &finished, action_list &actions)
{
    active_request *active = findByAttempt(finished.attempt);
    if (!active) {
        return;
    }
    if (finished.usage.outputTokens > active->nextTokenIndex) {
        // The last tokens of the answer were lost in transit.
        failAttempt(finished.attempt, attempt_failure::connection_lost, actions);
        return;
    }
    cancelAttempts(*active, finished.attempt, actions);
    const attempt attempt = active->attempts.front();
    const bool isEmptyAnswer = !hasForwardedTokens(*active) && active->request.resumeFrom == 0;
    token_usage usage = finished.usage;
    usage.outputTokens = active->nextTokenIndex;
    observe(*active, attempt, usage, finished.reason, false);
    removeAttempt(*active, finished.attempt, std::nullopt);
    if (isEmptyAnswer) {
        const std::uint64_t cost = m_environment.services.versions->cost(versionOf(*active), usage);
        if (switchToNextPermittedVersion(*active)) {
            active->earlierAnswersCost += cost;
            active->hasCertainlyRun = true;
            escalate(*active);
            return;
        }
    }
    m_environment.services.picker->answerFinished(active->request.kind, usage);
    beginAnswer(*active, actions);
    m_environment.context.timeline.record(
        timeline_kind::answer_finished, active->request.request, "tokens=" + std::to_string(active->nextTokenIndex));
    active->finishAction = {active->request.request, finished.reason, usage};
    active->isAwaitingBill = true;
    if (!m_environment.services.bills) {
        finish(*active, actions);
        return;
    }
    m_environment.deadlines.set(active->request.request, m_environment.now() + billTimeout);
    charge(*active, usage);
}

void model_flow::escalate(active_request &active)
{
    active.hasHedged = false;
    m_environment.context.timeline.record(
        timeline_kind::escalated, active.request.request, "version=" + versionOf(active).value());
    enqueue(active, true);
}

void model_flow::failAttempt(attempt_number attempt, attempt_failure failure, action_list &actions)
{
    active_request *active = findByAttempt(attempt);
    if (!active) {
        return;
    }
    for (const auto &candidate : active->attempts) {
        if (candidate.number == attempt && failure == attempt_failure::failed) {
            observe(*active, candidate, {}, finish_reason::stop, true);
        }
    }
    if (isCertainlyNotRun(failure)) {
        --active->attemptsThatMayHaveRun;
    }
    active->hasCertainlyRun = active->hasCertainlyRun || failure == attempt_failure::failed;
    removeAttempt(*active, attempt, failure);
    if (active->attempts.empty()) {
        retry(*active, failure, actions);
    }
}

void model_flow::retry(active_request &active, attempt_failure failure, action_list &actions)
{
    // An attempt that ran nothing put no load on a runner, so its retry doesn't count against the budget.
    const bool isRetryAllowed = active.attemptsStarted < maximumAttempts
        && (isCertainlyNotRun(failure) || m_environment.services.picker->spendRetry());
    if (!isRetryAllowed) {
        endWithError(active,
                     {error_code::backend_failed,
                      executionOf(active),
                      "the model runner failed (" + std::string(toName(failure)) + ") and no further retry is allowed",
                      busyRetryAfterSeconds},
                     actions);
        return;
    }
    m_environment.context.timeline.record(
        timeline_kind::retried, active.request.request, "after=" + std::string(toName(failure)));
    enqueue(active, true);
}

void model_flow::cancelAttempts(active_request &active,
                                std::optional<attempt_number> exceptAttempt,
                                action_list &actions)
{
    const std::vector<attempt> attempts = active.attempts;
    for (const attempt &attempt : attempts) {
        if (attempt.number != exceptAttempt) {
            actions.push_back(cancel_attempt{attempt.number});
            removeAttempt(active, attempt.number, attempt_failure::cancelled);
        }
    }
}

void model_flow::removeAttempt(active_request &active, attempt_number number, std::optional<attempt_failure> failure)
{
    m_environment.services.picker->attemptEnded(number, failure);
    m_environment.context.timeline.record(timeline_kind::attempt_ended,
                                          active.request.request,
                                          "end=" + std::string(failure ? toName(*failure) : "finished"));
    m_requestsByAttempt.erase(number);
    std::erase_if(active.attempts, [number](const attempt &attempt) { return attempt.number == number; });
    m_environment.isDispatchPending = true;
}

void model_flow::observe(const active_request &active,
                         const attempt &attempt,
                         const token_usage &usage,
                         finish_reason reason,
                         bool hasFailed)
{
    answer_observation observation;
    observation.request = active.request.request;
    observation.version = versionOf(active);
    observation.kind = active.request.kind;
    observation.wasEmpty = !hasFailed && usage.outputTokens == 0;
    observation.wasRefusal = reason == finish_reason::refusal;
    observation.hasFailed = hasFailed;
    observation.usage = usage;
    const steady_time firstToken = attempt.firstToken.value_or(m_environment.now());
    observation.timeToFirstToken = firstToken - attempt.started;
    if (usage.outputTokens > 1) {
        observation.timePerToken = (m_environment.now() - firstToken) / (usage.outputTokens - 1);
    }
    m_environment.services.versions->observe(observation);
}

void model_flow::charge(const active_request &active, const token_usage &usage)
{
    bill bill;
    bill.request = active.request.request;
    bill.organisation = active.callerIdentity.organisation;
    bill.group = active.callerIdentity.group;
    bill.service = active.request.service;
    bill.kind = active.request.kind;
    bill.version = versionOf(active);
    bill.usage = usage;
    bill.cost = active.earlierAnswersCost + m_environment.services.versions->cost(bill.version, usage);
    bill.unixMilliseconds = unixMilliseconds(m_environment.context.time.systemNow());
    m_environment.services.bills->charge(bill);
}

// Tokens already sent to the caller are billed even when the answer is never completed.
void model_flow::chargePartialAnswer(const active_request &active)
{
    if (!m_environment.services.bills || active.isAwaitingBill
        || (!hasForwardedTokens(active) && active.earlierAnswersCost == 0)) {
        return;
    }
    const token_usage usage =
        hasForwardedTokens(active) ? token_usage{active.request.promptTokens, 0, active.nextTokenIndex} : token_usage{};
    charge(active, usage);
}

void model_flow::endWithError(active_request &active, request_error error, action_list &actions)
{
    const request_id request = active.request.request;
    cancelAttempts(active, std::nullopt, actions);
    chargePartialAnswer(active);
    m_environment.context.timeline.record(timeline_kind::request_refused,
                                          request,
                                          "code=" + std::string(toName(error.code))
                                              + " execution=" + std::string(toName(error.execution)));
    actions.push_back(refuse_request{request, std::move(error)});
    erase(request);
}

void model_flow::handleBillDurable(const request_id &request, action_list &actions)
{
    const auto found = m_activeRequests.find(request);
    if (found != m_activeRequests.end() && found->second.isAwaitingBill) {
        finish(found->second, actions);
    }
}

void model_flow::finish(active_request &active, action_list &actions)
{
    const request_id request = active.request.request;
    actions.push_back(active.finishAction);
    erase(request);
}

void model_flow::erase(const request_id &request)
{
    if (m_environment.services.admission) {
        m_environment.services.admission->release(request);
    }
    m_environment.queue.remove(request);
    m_environment.deadlines.clear(request);
    m_activeRequests.erase(request);
}

model_flow::active_request *model_flow::findByAttempt(attempt_number attempt)
{
    const auto found = m_requestsByAttempt.find(attempt);
    return found == m_requestsByAttempt.end() ? nullptr : &m_activeRequests.at(found->second);
}

bool model_flow::contains(const request_id &request) const
{
    return m_activeRequests.contains(request);
}

std::size_t model_flow::size() const
{
    return m_activeRequests.size();
}

} // namespace crocuslane
