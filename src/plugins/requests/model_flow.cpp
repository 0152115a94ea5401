#include "plugins/requests/model_flow.h"

#include "plugins/requests/request_gate.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::chrono::seconds billLimit{2};
constexpr double busyRetrySeconds = 1.0;

std::uint32_t priorityOf(const work_estimate &work)
{
    const auto priority = static_cast<std::uint32_t>(work.urgency);
    return work.isLong ? std::max(priority, static_cast<std::uint32_t>(request_class::batch)) : priority;
}

// Such a failure is certain to have happened before the backend server ran anything.
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
    const execution_state refused = request.resumeFrom > 0 ? execution_state::ran : execution_state::not_run;
    if (!services.versions || !services.picker) {
        actions.push_back(refuse_request{
            request.request, {error_code::internal, refused, "this process runs without model routing", 0.0}});
        return;
    }
    auto chosen = services.versions->choose(request, caller);
    if (auto *error = std::get_if<request_error>(&chosen)) {
        error->execution = refused;
        actions.push_back(refuse_request{request.request, std::move(*error)});
        return;
    }
    const work_estimate work = services.picker->estimate(request);
    admission_grant grant;
    if (services.admission) {
        const std::uint64_t tokens = std::uint64_t{work.promptTokens} + work.outputTokens;
        auto admitted = services.admission->admit(request.request, caller, request.service, tokens);
        if (auto *error = std::get_if<request_error>(&admitted)) {
            error->execution = refused;
            actions.push_back(refuse_request{request.request, std::move(*error)});
            return;
        }
        grant = std::get<admission_grant>(admitted);
    }
    run &run = m_runs[request.request];
    run.request = request;
    run.from = caller;
    run.candidates = std::move(std::get<version_candidates>(chosen));
    run.work = work;
    run.grant = grant;
    run.nextIndex = request.resumeFrom;
    m_environment.context.timeline.record(
        timeline_kind::request_admitted, request.request, "group=" + caller.group.value());
    skipVersionsWithoutRunner(run);
    enqueue(run, false);
}

const version_id &model_flow::versionOf(const run &run) const
{
    return run.candidates.versions[run.candidate];
}

bool model_flow::hasForwarded(const run &run) const
{
    return run.nextIndex > run.request.resumeFrom;
}

execution_state model_flow::executionOf(const run &run) const
{
    if (run.nextIndex > 0 || run.hasCertainlyRun) {
        return execution_state::ran;
    }
    return run.attemptsThatMayHaveRun > 0 ? execution_state::unknown : execution_state::not_run;
}

pick_request model_flow::pickRequest(const run &run) const
{
    pick_request pick;
    pick.request = run.request.request;
    pick.service = run.request.service;
    pick.version = versionOf(run);
    pick.work = run.work;
    pick.prefixHashes = run.request.prefixHashes;
    pick.excluded = run.tried;
    pick.maySpill = run.work.urgency != request_class::batch;
    return pick;
}

void model_flow::skipVersionsWithoutRunner(run &run)
{
    const auto &versions = run.candidates.versions;
    for (std::size_t index = 0; index < versions.size(); ++index) {
        if (m_environment.services.picker->hasRunner(run.request.service, versions[index])) {
            run.candidate = index;
            return;
        }
    }
}

void model_flow::enqueue(run &run, bool isContinuation)
{
    const request_id request = run.request.request;
    std::string lane =
        run.request.service.value() + '\n' + versionOf(run).value() + (run.work.isLong ? "\nlong" : "\n");
    if (!run.tried.empty()) {
        // Runners that were tried are excluded for this request only, so others must not wait with it.
        lane += '\n' + request.value();
    }
    const queue_position position{run.grant.tier, run.work.urgency, isContinuation, run.grant.virtualStart};
    m_environment.deadlines.set(request, m_environment.now() + queueLimit(run.work.urgency));
    m_environment.isDispatchWanted = true;
    m_environment.enqueued.push_back(request);
    const std::optional<request_id> displaced = m_environment.queue.push(request, lane, position);
    if (displaced) {
        m_environment.displaced.push_back(*displaced);
    }
}

dispatch_result model_flow::tryStart(const request_id &request, action_list &actions)
{
    const auto found = m_runs.find(request);
    if (found == m_runs.end()) {
        return dispatch_result::taken;
    }
    run &run = found->second;
    if (run.attemptsStarted == 0 && !m_environment.isFresh()) {
        end(run,
            {error_code::configuration_unconfirmed,
             executionOf(run),
             "this entry VM can no longer confirm that its configuration is the newest",
             busyRetrySeconds},
            actions);
        return dispatch_result::taken;
    }
    if (!m_environment.services.versions->mayServe(
            versionOf(run), run.from.organisation, run.candidates.isBoundBySession)) {
        if (nextPermittedVersion(run)) {
            enqueue(run, run.attemptsStarted > 0);
            return dispatch_result::taken;
        }
        const bool isBound = run.candidates.isBoundBySession;
        end(run,
            {isBound ? error_code::session_version_withdrawn : error_code::forbidden,
             executionOf(run),
             "version " + versionOf(run).value() + " may no longer serve this request",
             0.0},
            actions);
        return dispatch_result::taken;
    }
    pick_request pick = pickRequest(run);
    std::optional<runner_choice> choice = m_environment.services.picker->pick(pick);
    if (!choice && !pick.excluded.empty()) {
        // With few runners all may have been tried; the picker itself avoids those that keep failing.
        pick.excluded.clear();
        choice = m_environment.services.picker->pick(pick);
    }
    if (!choice) {
        return dispatch_result::waiting;
    }
    startAttempt(run, pick, *choice, actions);
    return dispatch_result::taken;
}

// A version may be replaced only before its first token was passed on: an answer never mixes versions.
bool model_flow::nextPermittedVersion(run &run)
{
    if (run.nextIndex > 0 || run.candidates.isBoundBySession) {
        return false;
    }
    for (std::size_t index = run.candidate + 1; index < run.candidates.versions.size(); ++index) {
        const version_id &version = run.candidates.versions[index];
        if (m_environment.services.versions->mayServe(version, run.from.organisation, false)
            && m_environment.services.picker->hasRunner(run.request.service, version)) {
            run.candidate = index;
            run.tried.clear();
            return true;
        }
    }
    return false;
}

void model_flow::startAttempt(run &run, const pick_request &pick, const runner_choice &choice, action_list &actions)
{
    runner_picker &picker = *m_environment.services.picker;
    const request_id &request = run.request.request;
    const attempt_number number = ++m_environment.lastAttempt;
    run.attempts.push_back({number, choice.runner, m_environment.now(), std::nullopt});
    run.tried.insert(choice.runner);
    ++run.attemptsThatMayHaveRun;
    ++run.attemptsStarted;
    m_requestByAttempt.emplace(number, request);
    picker.attemptStarted(number, pick, choice.runner);
    actions.push_back(start_attempt{number,
                                    request,
                                    choice.runner,
                                    choice.address,
                                    pick.version,
                                    run.nextIndex,
                                    priorityOf(run.work),
                                    picker.silenceLimit(choice.runner, run.work)});
    m_environment.context.timeline.record(timeline_kind::attempt_started,
                                          request,
                                          "runner=" + choice.runner.value() + " version=" + pick.version.value());
    m_environment.deadlines.clear(request);
    const std::optional<duration> hedgeDelay = picker.hedgeDelay(run.work);
    if (hedgeDelay && !run.hasHedged && !hasForwarded(run)) {
        m_environment.deadlines.set(request, m_environment.now() + *hedgeDelay);
    }
}

void model_flow::expire(const request_id &request, action_list &actions)
{
    const auto found = m_runs.find(request);
    if (found == m_runs.end()) {
        return;
    }
    run &run = found->second;
    if (run.isAwaitingBill) {
        end(run,
            {error_code::bill_pending,
             execution_state::ran,
             "the bill is not durable yet; repeat with the request id",
             1.0},
            actions);
        return;
    }
    if (m_environment.queue.contains(request)) {
        end(run,
            {error_code::no_capacity, executionOf(run), "no runner became free in time", busyRetrySeconds},
            actions);
        return;
    }
    hedge(run, actions);
}

void model_flow::hedge(run &run, action_list &actions)
{
    // While requests wait, a second attempt would only take the slot that one of them needs.
    if (run.hasHedged || hasForwarded(run) || run.attempts.size() != 1 || m_environment.queue.size() > 0) {
        return;
    }
    if (!m_environment.services.versions->mayServe(
            versionOf(run), run.from.organisation, run.candidates.isBoundBySession)) {
        return;
    }
    pick_request pick = pickRequest(run);
    // A hedge must not add load on the regional link.
    pick.maySpill = false;
    const std::optional<runner_choice> choice = m_environment.services.picker->pick(pick);
    if (!choice || !m_environment.services.picker->spendHedge(run.work)) {
        return;
    }
    run.hasHedged = true;
    m_environment.context.timeline.record(
        timeline_kind::hedged, run.request.request, "runner=" + choice->runner.value());
    startAttempt(run, pick, *choice, actions);
}

void model_flow::dropFromQueue(const request_id &request, action_list &actions)
{
    const auto found = m_runs.find(request);
    if (found != m_runs.end()) {
        end(found->second,
            {error_code::no_capacity, executionOf(found->second), "the queue is full", busyRetrySeconds},
            actions);
    }
}

void model_flow::abandon(const request_id &request, action_list &actions)
{
    const auto found = m_runs.find(request);
    if (found == m_runs.end()) {
        return;
    }
    run &run = found->second;
    cancelAttempts(run, std::nullopt, actions);
    chargePartialAnswer(run);
    erase(request);
}

void model_flow::receiveToken(const token_received &token, action_list &actions)
{
    run *run = runOfAttempt(token.attempt);
    if (!run) {
        return;
    }
    m_environment.services.picker->tokenReceived(token.attempt);
    if (token.index < run->nextIndex) {
        return;
    }
    if (token.index > run->nextIndex) {
        // A token is missing, and the caller must not get an answer with a gap: continue elsewhere.
        actions.push_back(cancel_attempt{token.attempt});
        failAttempt(token.attempt, attempt_failure::connection_lost, actions);
        return;
    }
    if (run->attempts.size() > 1) {
        cancelAttempts(*run, token.attempt, actions);
    }
    attempt &attempt = run->attempts.front();
    if (!attempt.firstToken) {
        attempt.firstToken = m_environment.now();
        m_environment.deadlines.clear(run->request.request);
    }
    begin(*run, actions);
    actions.push_back(send_token{run->request.request, token.index, token.text});
    ++run->nextIndex;
}

void model_flow::begin(run &run, action_list &actions)
{
    if (run.hasBegun) {
        return;
    }
    run.hasBegun = true;
    const version_id &version = versionOf(run);
    actions.push_back(begin_answer{
        run.request.request, version, m_environment.services.versions->sessionToken(run.request, run.from, version)});
    m_environment.context.timeline.record(
        timeline_kind::first_token, run.request.request, "version=" + version.value());
}

void model_flow::finishAttempt(const attempt_finished &finished, action_list &actions)
{
    run *run = runOfAttempt(finished.attempt);
    if (!run) {
        return;
    }
    if (finished.usage.outputTokens > run->nextIndex) {
        // The end of the answer was lost on the way.
        failAttempt(finished.attempt, attempt_failure::connection_lost, actions);
        return;
    }
    cancelAttempts(*run, finished.attempt, actions);
    const attempt attempt = run->attempts.front();
    const bool isWeak = !hasForwarded(*run) && run->request.resumeFrom == 0;
    token_usage usage = finished.usage;
    usage.outputTokens = run->nextIndex;
    observe(*run, attempt, usage, finished.reason, false);
    forgetAttempt(*run, finished.attempt, std::nullopt);
    if (isWeak) {
        const std::uint64_t cost = m_environment.services.versions->cost(versionOf(*run), usage);
        if (nextPermittedVersion(*run)) {
            run->earlierCost += cost;
            run->hasCertainlyRun = true;
            escalate(*run);
            return;
        }
    }
    m_environment.services.picker->answerFinished(run->request.kind, usage);
    begin(*run, actions);
    m_environment.context.timeline.record(
        timeline_kind::answer_finished, run->request.request, "tokens=" + std::to_string(run->nextIndex));
    run->end = {run->request.request, finished.reason, usage};
    run->isAwaitingBill = true;
    if (!m_environment.services.bills) {
        finish(*run, actions);
        return;
    }
    m_environment.deadlines.set(run->request.request, m_environment.now() + billLimit);
    charge(*run, usage);
}

void model_flow::escalate(run &run)
{
    run.hasHedged = false;
    m_environment.context.timeline.record(
        timeline_kind::escalated, run.request.request, "version=" + versionOf(run).value());
    enqueue(run, true);
}

void model_flow::failAttempt(attempt_number attempt, attempt_failure failure, action_list &actions)
{
    run *run = runOfAttempt(attempt);
    if (!run) {
        return;
    }
    for (const auto &candidate : run->attempts) {
        if (candidate.number == attempt && failure == attempt_failure::failed) {
            observe(*run, candidate, {}, finish_reason::stop, true);
        }
    }
    if (isCertainlyNotRun(failure)) {
        --run->attemptsThatMayHaveRun;
    }
    run->hasCertainlyRun = run->hasCertainlyRun || failure == attempt_failure::failed;
    forgetAttempt(*run, attempt, failure);
    if (run->attempts.empty()) {
        retry(*run, failure, actions);
    }
}

void model_flow::retry(run &run, attempt_failure failure, action_list &actions)
{
    // An attempt that ran nothing adds no load to the runners that are left, so it needs no part of the budget.
    const bool isPermitted = run.attemptsStarted < maximumAttempts
        && (isCertainlyNotRun(failure) || m_environment.services.picker->spendRetry());
    if (!isPermitted) {
        end(run,
            {error_code::backend_failed,
             executionOf(run),
             "the model runner failed (" + std::string(toName(failure)) + ") and no retry is left",
             busyRetrySeconds},
            actions);
        return;
    }
    m_environment.context.timeline.record(
        timeline_kind::retried, run.request.request, "after=" + std::string(toName(failure)));
    enqueue(run, true);
}

void model_flow::cancelAttempts(run &run, std::optional<attempt_number> except, action_list &actions)
{
    const std::vector<attempt> attempts = run.attempts;
    for (const attempt &attempt : attempts) {
        if (attempt.number != except) {
            actions.push_back(cancel_attempt{attempt.number});
            forgetAttempt(run, attempt.number, attempt_failure::cancelled);
        }
    }
}

void model_flow::forgetAttempt(run &run, attempt_number number, std::optional<attempt_failure> failure)
{
    m_environment.services.picker->attemptEnded(number, failure);
    m_environment.context.timeline.record(timeline_kind::attempt_ended,
                                          run.request.request,
                                          "end=" + std::string(failure ? toName(*failure) : "finished"));
    m_requestByAttempt.erase(number);
    std::erase_if(run.attempts, [number](const attempt &attempt) { return attempt.number == number; });
    m_environment.isDispatchWanted = true;
}

void model_flow::observe(
    const run &run, const attempt &attempt, const token_usage &usage, finish_reason reason, bool hasFailed)
{
    answer_observation observation;
    observation.request = run.request.request;
    observation.version = versionOf(run);
    observation.kind = run.request.kind;
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

void model_flow::charge(const run &run, const token_usage &usage)
{
    bill bill;
    bill.request = run.request.request;
    bill.organisation = run.from.organisation;
    bill.group = run.from.group;
    bill.service = run.request.service;
    bill.kind = run.request.kind;
    bill.version = versionOf(run);
    bill.usage = usage;
    bill.cost = run.earlierCost + m_environment.services.versions->cost(bill.version, usage);
    bill.unixMilliseconds = unixMilliseconds(m_environment.context.time.systemNow());
    m_environment.services.bills->charge(bill);
}

// Tokens that the caller already has are billed, also when the rest of the answer never comes.
void model_flow::chargePartialAnswer(const run &run)
{
    if (!m_environment.services.bills || run.isAwaitingBill || (!hasForwarded(run) && run.earlierCost == 0)) {
        return;
    }
    const token_usage usage =
        hasForwarded(run) ? token_usage{run.request.promptTokens, 0, run.nextIndex} : token_usage{};
    charge(run, usage);
}

void model_flow::end(run &run, request_error error, action_list &actions)
{
    const request_id request = run.request.request;
    cancelAttempts(run, std::nullopt, actions);
    chargePartialAnswer(run);
    m_environment.context.timeline.record(timeline_kind::request_refused,
                                          request,
                                          "code=" + std::string(toName(error.code))
                                              + " execution=" + std::string(toName(error.execution)));
    actions.push_back(refuse_request{request, std::move(error)});
    erase(request);
}

void model_flow::billDurable(const request_id &request, action_list &actions)
{
    const auto found = m_runs.find(request);
    if (found != m_runs.end() && found->second.isAwaitingBill) {
        finish(found->second, actions);
    }
}

void model_flow::finish(run &run, action_list &actions)
{
    const request_id request = run.request.request;
    actions.push_back(run.end);
    erase(request);
}

void model_flow::erase(const request_id &request)
{
    if (m_environment.services.admission) {
        m_environment.services.admission->release(request);
    }
    m_environment.queue.remove(request);
    m_environment.deadlines.clear(request);
    m_runs.erase(request);
}

model_flow::run *model_flow::runOfAttempt(attempt_number attempt)
{
    const auto found = m_requestByAttempt.find(attempt);
    return found == m_requestByAttempt.end() ? nullptr : &m_runs.at(found->second);
}

bool model_flow::contains(const request_id &request) const
{
    return m_runs.contains(request);
}

std::size_t model_flow::size() const
{
    return m_runs.size();
}

} // namespace crocuslane
