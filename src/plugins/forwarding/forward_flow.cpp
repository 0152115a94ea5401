#include "plugins/forwarding/forward_flow.h"

#include "plugins/forwarding/attempt_requirements.h"
#include "plugins/forwarding/refusals.h"
#include "plugins/forwarding/request_log.h"
#include "plugins/forwarding/request_setup.h"
#include "plugins/forwarding/request_timeouts.h"
#include "plugins/forwarding/retry_rule.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::uint32_t firstServerError = 500;
constexpr std::uint32_t firstRedirection = 300;
// A new attempt gets this multiple of its expected delay before the silence timeout begins.
constexpr int expectedDelaysBeforeSilence = 3;

bool isSuccess(std::uint32_t status)
{
    return status >= 200 && status < firstRedirection;
}

} // namespace

forward_flow::forward_flow(const forward_environment &environment, const forwarding_settings &settings)
    : m_environment(environment)
    , m_settings(settings)
    , m_retryBudget({settings.retryShare, settings.retryAllowance, settings.retryWindow})
{
}

steady_time forward_flow::now() const
{
    return m_environment.time->steadyNow();
}

bool forward_flow::isConfigured() const
{
    return m_environment.routes->configuration() != nullptr && m_environment.backends->isListRead();
}

void forward_flow::receive(const forward_request &request, action_list &actions)
{
    if (!acceptsRequests()) {
        actions.push_back(refuse_forward{
            request.request, refusal_reason::stopping, retryAfter(refusal_reason::stopping, *m_environment.random)});
        return;
    }
    if (!isConfigured() && m_startupQueue.push(request, now())) {
        actions.push_back(requestHeldLine(request.request, m_environment.routes->configuration() != nullptr));
        return;
    }
    admit(request, now(), actions);
}

void forward_flow::startWaitingForConfiguration(action_list &actions)
{
    if (m_startupQueue.size() == 0 || !isConfigured()) {
        return;
    }
    for (const startup_queue::entry &each : m_startupQueue.takeAll()) {
        admit(each.request, each.arrivedAt, actions);
    }
}

void forward_flow::admit(const forward_request &request, steady_time arrivedAt, action_list &actions)
{
    active_request created;
    created.request = request;
    created.arrivedAt = arrivedAt;
    const auto found = m_environment.routes->match(request.host, request.path, request.callerKey);
    if (const auto *reason = std::get_if<refusal_reason>(&found)) {
        refuse(created, *reason, actions);
        return;
    }
    created.match = std::get<route_match>(found);
    const forward_route &route = created.route();
    const duration requestedTimeout = request.callerTimeout > duration::zero() ? request.callerTimeout : route.timeout;
    created.deadline = m_stop.limit(created.arrivedAt + std::min(requestedTimeout, route.timeout));
    created.service = chooseService(route, request.session, *m_environment.random);
    created.engine = findEngine(*created.match.configuration, created.service);
    const bool isModelChosenHere = request.model.empty() && !route.models.empty();
    setModel(created, isModelChosenHere ? route.models.front().value() : std::string());
    created.lastEvent = request.resumeAfter;
    if (const std::optional<refusal_reason> reason = judge(created)) {
        refuse(created, *reason, actions);
        return;
    }
    m_retryBudget.recordRequest(created.service, now());
    active_request &added = m_activeRequests.insert_or_assign(request.request, std::move(created)).first->second;
    startOrWait(added, actions);
}

std::optional<refusal_reason> forward_flow::judge(active_request &active)
{
    if (m_environment.suspects == nullptr) {
        return std::nullopt;
    }
    const crash_suspects::verdict verdict = m_environment.suspects->judge(active.request);
    active.isProbe = verdict == crash_suspects::verdict::probe;
    return refusalOf(verdict);
}

bool forward_flow::escalate(active_request &active, action_list &actions)
{
    const forward_answer_head &head = active.current->head;
    if (active.hasStreamBegun || active.model.empty() || !head.confidence || !isSuccess(head.status)) {
        return false;
    }
    const std::string previousModel = active.model;
    const std::string &largest = active.route().models.back().value();
    if (previousModel == largest || !mayRetry(active, m_environment.suspects, now())) {
        return false;
    }
    setModel(active, largest);
    const std::optional<backend_choice> choice = pickForRetry(active);
    if (!choice || !shouldEscalate(estimateOf(active, *choice))
        || !m_retryBudget.tryTake(active.service, vmCount(), now())) {
        setModel(active, previousModel);
        return false;
    }
    actions.push_back(answerEscalatedLine(active, *choice));
    cancelAttempt(active, attempt_end::cancelled, actions);
    startAttempt(active, requirementsOf(active, versionRule(active)), *choice, actions);
    return true;
}

escalation_estimate forward_flow::estimateOf(const active_request &active, const backend_choice &choice) const
{
    const prefill_estimate prefill = m_environment.backends->estimatePrefill(active.model, active.request.promptTokens);
    return escalationEstimate(active, choice, prefill, now());
}

version_rule forward_flow::versionRule(const active_request &active) const
{
    return m_environment.rollouts == nullptr ? version_rule{}
                                             : m_environment.rollouts->rule(active.service, active.request.session);
}

void forward_flow::startOrWait(active_request &active, action_list &actions)
{
    if (refuseIfTooLate(active, actions)) {
        return;
    }
    const unsigned priority = active.match.priority();
    if (m_queue.countBefore(active.service, priority) == 0 && tryStart(active, actions)) {
        return;
    }
    if (!m_activeRequests.contains(active.request.request)) {
        return;
    }
    if (const auto reason = m_environment.backends->refusal(requirementsOf(active, versionRule(active)))) {
        endWithoutAnswer(active, *reason, refusal_reason::attempts_exhausted_may_have_run, actions);
        return;
    }
    active.queuedAt = now();
    if (refuseAtLimit(active, actions) || refuseByForecast(active, actions)) {
        return;
    }
    m_queue.push(
        {active.request.request, active.organisation(), priority, latestUsefulStart(active)}, active.service, now());
    scheduleDeadline(active);
}

bool forward_flow::refuseAtLimit(active_request &active, action_list &actions)
{
    const std::size_t before = m_queue.countBefore(active.service, active.match.priority());
    const std::optional<duration> delay = m_environment.backends->limitDelay(requirementsOf(active, {}), before);
    if (delay && now() + *delay <= queueDeadline(active)) {
        return false;
    }
    // Without a share of the limits here, another VM may have one.
    active.limitDelay = delay.value_or(duration::zero());
    endWithoutAnswer(
        active, refusal_reason::runners_at_limit, refusal_reason::attempts_exhausted_may_have_run, actions);
    return true;
}

bool forward_flow::refuseByForecast(active_request &active, action_list &actions)
{
    // The prediction is for new requests: a repeated one may have used up part of its time at a runner.
    if (active.attempts > 0) {
        return false;
    }
    const std::optional<duration> delay =
        m_queue.predictedDelay(active.service, active.organisation(), active.match.priority(), now());
    if (!delay || now() + *delay <= queueDeadline(active)) {
        return false;
    }
    ++m_refusedByForecast;
    actions.push_back(startTooLateLine(active, *delay, queueDeadline(active) - now()));
    active.limitDelay = spreadOverBacklog(*delay, *m_environment.random);
    refuse(active, refusal_reason::queueing_delay_too_long, actions);
    return true;
}

steady_time forward_flow::latestUsefulStart(const active_request &active) const
{
    const bool isPlain = active.engine == nullptr;
    const duration prefill = isPlain
        ? duration::zero()
        : m_environment.backends->estimatePrefill(active.model, active.request.promptTokens).prefillTime;
    return active.arrivedAt + active.route().objective - prefill;
}

bool forward_flow::tryStart(active_request &active, action_list &actions)
{
    version_rule rule;
    if (m_environment.rollouts != nullptr) {
        const bool isFirst = active.attempts == 0;
        rule = isFirst ? m_environment.rollouts->choose(active.service, active.request.session)
                       : m_environment.rollouts->rule(active.service, active.request.session);
    }
    backend_requirements requirements = requirementsOf(active, rule);
    std::optional<backend_choice> choice = m_environment.backends->pick(requirements);
    if (!choice && rule.isTrial) {
        // Waiting for the version on trial would delay all requests behind this one.
        requirements.versions = {version_rule::mode::except, rule.version, false};
        choice = m_environment.backends->pick(requirements);
    }
    if (!choice) {
        return false;
    }
    startAttempt(active, requirements, *choice, actions);
    return true;
}

void forward_flow::startAttempt(active_request &active,
                                const backend_requirements &requirements,
                                const backend_choice &choice,
                                action_list &actions)
{
    active_attempt started;
    started.number = ++m_lastAttempt;
    started.runner = choice.runner;
    started.version = choice.version;
    started.started = now();
    started.isContinuation = active.hasEvent;
    started.lastActivity = now() + expectedDelaysBeforeSilence * choice.expectedDelay;
    active.current = started;
    if (m_environment.rollouts != nullptr) {
        m_environment.rollouts->attemptStarted(active.service, choice.version, active.attempts == 0);
    }
    m_queue.noteStart(active.service, active.organisation(), active.match.priority(), now());
    ++active.attempts;
    ++active.attemptsThatMayHaveRun;
    active.triedRunners.insert(choice.runner);
    m_requestByAttempt[started.number] = active.request.request;
    m_environment.backends->attemptStarted(started.number, requirements, choice.runner);
    if (m_environment.suspects != nullptr) {
        m_environment.suspects->attemptStarted(started.number, active.request, choice.runner);
    }
    start_forward action = startAction(active, choice, now());
    action.usesNewConnection = !active.runnersSentTo.insert(choice.runner).second;
    actions.push_back(attemptStartedLine(active, choice, action.timeLeft));
    actions.push_back(std::move(action));
    scheduleDeadline(active);
}

active_request *forward_flow::findByAttempt(attempt_number attempt)
{
    const auto found = m_requestByAttempt.find(attempt);
    if (found == m_requestByAttempt.end()) {
        return nullptr;
    }
    const auto owner = m_activeRequests.find(found->second);
    return owner == m_activeRequests.end() ? nullptr : &owner->second;
}

void forward_flow::receiveHead(const forward_head_received &received, action_list &actions)
{
    active_request *found = findByAttempt(received.attempt);
    if (found == nullptr) {
        return;
    }
    active_request &active = *found;
    if (m_environment.suspects != nullptr && received.head.isGenuine && !received.head.isMisdirected) {
        m_environment.suspects->headReceived(received.attempt);
    }
    active.current->answer = received.answer;
    active.current->head = received.head;
    active.confidence = received.head.confidence;
    active.current->lastActivity = std::max(active.current->lastActivity, now());
    if (received.head.load) {
        m_environment.backends->noteLoad(active.current->runner, *received.head.load);
    }
    const bool isSuccessOfOtherForm =
        active.hasStreamBegun && isSuccess(received.head.status) && !received.head.isEventStream;
    const bool isUsable = received.head.isGenuine && !isSuccessOfOtherForm;
    if (received.head.isNotRun || received.head.isMisdirected || !isUsable) {
        actions.push_back(attemptRefusedLine(active, received.head));
    }
    if (received.head.isNotRun || received.head.isMisdirected) {
        --active.attemptsThatMayHaveRun;
        cancelAttempt(active, received.head.isMisdirected ? attempt_end::misdirected : attempt_end::refused, actions);
        retry(active, actions);
        return;
    }
    if (!isUsable) {
        replaceAttempt(active, actions);
        return;
    }
    if (isSuccess(received.head.status)) {
        m_environment.backends->answerBegan(received.attempt);
    }
    if (!escalate(active, actions)) {
        scheduleDeadline(active);
    }
}

void forward_flow::replaceAttempt(active_request &active, action_list &actions)
{
    cancelAttempt(active, attempt_end::lost, actions);
    retry(active, actions);
}

void forward_flow::receiveEvent(const forward_event_received &received, action_list &actions)
{
    active_request *found = findByAttempt(received.attempt);
    if (found == nullptr) {
        return;
    }
    active_request &active = *found;
    const bool isKnown = received.number && active.lastEvent && *received.number <= *active.lastEvent;
    // Neither is progress: a stalled runner could send them without end.
    if (isKnown) {
        return;
    }
    if (!received.hasData) {
        beginStream(active, actions);
        actions.push_back(send_stream_event{active.request.request, received.text});
        return;
    }
    const bool isNumberExpected = received.number && active.lastEvent;
    if (isNumberExpected && *received.number != *active.lastEvent + 1) {
        replaceAttempt(active, actions);
        return;
    }
    // Without a number, nothing shows that the event follows the last one: it may be the text of an error.
    if (!received.number && active.current->isContinuation && !active.current->hasEvent) {
        replaceAttempt(active, actions);
        return;
    }
    if (active.hasStreamBegun) {
        active.longestPause = std::max(active.longestPause, now() - active.current->lastActivity);
    }
    active.current->lastActivity = now();
    if (m_environment.suspects != nullptr) {
        m_environment.suspects->eventReceived(received.attempt);
    }
    if (!active.current->hasEvent) {
        observe(active, *active.current, attempt_result::answered);
        active.current->hasEvent = true;
    }
    beginStream(active, actions);
    active.hasEvent = true;
    active.hasUnnumberedEvent = active.hasUnnumberedEvent || !received.number;
    if (received.number) {
        active.lastEvent = received.number;
    }
    actions.push_back(send_stream_event{active.request.request, received.text});
    scheduleDeadline(active);
}

void forward_flow::beginStream(active_request &active, action_list &actions)
{
    if (active.hasStreamBegun) {
        return;
    }
    active.hasStreamBegun = true;
    active.firstEventAt = now();
    actions.push_back(begin_stream{active.request.request, active.current->answer});
}

void forward_flow::complete(const forward_completed &completed, action_list &actions)
{
    active_request *found = findByAttempt(completed.attempt);
    if (found == nullptr) {
        return;
    }
    active_request &active = *found;
    const std::uint32_t status = active.current->head.status;
    const bool isEventStream = isStream(active.route().kind) && active.current->head.isEventStream;
    const bool hasFailed = status >= firstServerError;
    if (hasFailed || !active.current->hasEvent) {
        observe(active, *active.current, hasFailed ? attempt_result::failed : attempt_result::answered);
    }
    if (m_environment.suspects != nullptr && isSuccess(status)) {
        m_environment.suspects->answered(completed.attempt, isStream(active.route().kind));
    }
    endAttempt(active, hasFailed ? attempt_end::failed : attempt_end::complete);
    if (hasFailed) {
        active.failureAnswer = completed.answer;
        retry(active, actions);
        return;
    }
    if (isEventStream) {
        if (!active.hasStreamBegun) {
            actions.push_back(begin_stream{active.request.request, completed.answer});
        }
        recordDuration(active);
        actions.push_back(finish_stream{active.request.request});
        finish(active, "answered", actions);
        return;
    }
    if (active.hasStreamBegun) {
        // The caller has already received the head of another answer.
        actions.push_back(abort_stream{active.request.request});
        finish(active, "broken_off", actions);
        return;
    }
    recordDuration(active);
    actions.push_back(deliver_answer{active.request.request, completed.answer});
    finish(active, "answered", actions);
}

void forward_flow::fail(const forward_failed &failed, action_list &actions)
{
    active_request *found = findByAttempt(failed.attempt);
    if (found == nullptr) {
        return;
    }
    active_request &active = *found;
    actions.push_back(attemptFailedLine(active, failed.failure, now()));
    if (failed.failure == attempt_failure::not_sent) {
        --active.attempts;
        --active.attemptsThatMayHaveRun;
        endAttempt(active, attempt_end::not_sent);
    } else {
        observe(active, *active.current, attempt_result::failed);
        const bool isConnectionLost = failed.failure == attempt_failure::connection_lost;
        if (m_environment.suspects != nullptr && isConnectionLost
            && m_environment.suspects->connectionLost(failed.attempt)) {
            ++active.lostRunners;
        }
        endAttempt(active, attempt_end::lost);
    }
    retry(active, actions);
}

void forward_flow::retry(active_request &active, action_list &actions)
{
    const bool isFirstAttempt = active.attempts == 0;
    if (!mayRetry(active, m_environment.suspects, now())
        || (!isFirstAttempt && !m_retryBudget.tryTake(active.service, vmCount(), now()))) {
        endWithoutAnswer(active,
                         isolation(active).value_or(refusal_reason::attempts_exhausted_not_run),
                         refusal_reason::attempts_exhausted_may_have_run,
                         actions);
        return;
    }
    if (!m_environment.backends->hasRunner(requirementsOf(active, {}))) {
        // Every runner was tried; one that refused earlier may have free capacity by now.
        active.triedRunners.clear();
    }
    startOrWait(active, actions);
}

void forward_flow::recordDuration(const active_request &active)
{
    if (!isRepeatable(active.route().kind)) {
        m_durations.record(active.route().name, now() - active.arrivedAt);
    }
}

bool forward_flow::refuseIfTooLate(active_request &active, action_list &actions)
{
    if (isRepeatable(active.route().kind) || m_stop.leavesTimeFor(m_durations.longest(active.route().name), now())) {
        return false;
    }
    endWithoutAnswer(active, refusal_reason::stopping, refusal_reason::attempts_exhausted_may_have_run, actions);
    return true;
}

void forward_flow::stop(std::optional<duration> timeLeft)
{
    m_stop.begin(now(), timeLeft, m_settings.acceptAfterStop);
    for (auto &[id, active] : m_activeRequests) {
        active.deadline = m_stop.limit(active.deadline);
        scheduleDeadline(active);
    }
}

bool forward_flow::acceptsRequests() const
{
    return m_stop.acceptsRequests(now());
}

std::size_t forward_flow::vmCount() const
{
    return m_environment.members == nullptr ? 1 : std::max<std::size_t>(m_environment.members->members().size(), 1);
}

void forward_flow::endAttempt(active_request &active, attempt_end end)
{
    m_requestByAttempt.erase(active.current->number);
    m_environment.backends->attemptEnded(active.current->number, end);
    if (m_environment.suspects != nullptr) {
        m_environment.suspects->attemptEnded(active.current->number, end);
    }
    active.current.reset();
}

void forward_flow::cancelAttempt(active_request &active, attempt_end end, action_list &actions)
{
    actions.push_back(cancel_attempt{active.current->number});
    if (end == attempt_end::lost) {
        observe(active, *active.current, attempt_result::failed);
    } else if (end == attempt_end::cancelled && !active.current->hasEvent) {
        observe(active, *active.current, attempt_result::unanswered);
    }
    endAttempt(active, end);
}

void forward_flow::observe(const active_request &active, const active_attempt &attempt, attempt_result result)
{
    if (m_environment.rollouts == nullptr) {
        return;
    }
    m_environment.rollouts->observe(observationOf(active, attempt, result, now()));
}

void forward_flow::endWithoutAnswer(active_request &active,
                                    refusal_reason notRun,
                                    refusal_reason mayHaveRun,
                                    action_list &actions)
{
    if (active.hasStreamBegun) {
        actions.push_back(abort_stream{active.request.request});
        finish(active, "broken_off", actions);
        return;
    }
    if (active.failureAnswer) {
        actions.push_back(deliver_answer{active.request.request, active.failureAnswer});
        finish(active, "runner_failed", actions);
        return;
    }
    refuse(active, active.attemptsThatMayHaveRun > 0 ? mayHaveRun : notRun, actions);
}

void forward_flow::refuse(active_request &active, refusal_reason reason, action_list &actions)
{
    actions.push_back(
        refuse_forward{active.request.request, reason, active.limitDelay + retryAfter(reason, *m_environment.random)});
    finish(active, toName(reason), actions);
}

void forward_flow::finish(active_request &active, std::string_view outcome, action_list &actions)
{
    actions.push_back(requestFinishedLine(active, outcome, now()));
    if (active.current) {
        endAttempt(active, attempt_end::cancelled);
    }
    const request_id request = active.request.request;
    m_queue.remove(request, now());
    m_deadlines.clear(request);
    m_activeRequests.erase(request);
}

void forward_flow::abandon(const request_id &request, action_list &actions)
{
    if (m_startupQueue.remove(request)) {
        return;
    }
    const auto found = m_activeRequests.find(request);
    if (found == m_activeRequests.end()) {
        return;
    }
    if (found->second.current) {
        cancelAttempt(found->second, attempt_end::cancelled, actions);
    }
    finish(found->second, "abandoned", actions);
}

void forward_flow::dispatchWaiting(action_list &actions)
{
    m_queue.dispatch(now(), [&](const request_id &request) {
        const auto found = m_activeRequests.find(request);
        return found == m_activeRequests.end() || refuseIfTooLate(found->second, actions)
            || tryStart(found->second, actions);
    });
}

std::optional<refusal_reason> forward_flow::isolation(const active_request &active) const
{
    return m_environment.suspects == nullptr ? std::nullopt : m_environment.suspects->isolation(active.request);
}

void forward_flow::refuseIsolated(action_list &actions)
{
    std::vector<request_id> isolated;
    for (const auto &[id, active] : m_activeRequests) {
        if (!active.current && !active.isProbe && isolation(active)) {
            isolated.push_back(id);
        }
    }
    for (const request_id &id : isolated) {
        active_request &active = m_activeRequests.at(id);
        endWithoutAnswer(active,
                         isolation(active).value_or(refusal_reason::prompt_part_isolated),
                         refusal_reason::attempts_exhausted_may_have_run,
                         actions);
    }
}

void forward_flow::scheduleDeadline(const active_request &active)
{
    m_deadlines.set(active.request.request, nextTimeout(active));
}

void forward_flow::expire(action_list &actions)
{
    // Refused for what is missing: the configuration or a runner.
    const bool isOver = m_stop.isOver(now());
    for (const startup_queue::entry &each : isOver ? m_startupQueue.takeAll() : m_startupQueue.takeExpired(now())) {
        admit(each.request, each.arrivedAt, actions);
    }
    while (const std::optional<request_id> due = m_deadlines.takeExpired(now())) {
        const auto found = m_activeRequests.find(*due);
        if (found == m_activeRequests.end()) {
            continue;
        }
        expire(found->second, actions);
    }
}

void forward_flow::expire(active_request &active, action_list &actions)
{
    if (now() < active.deadline && active.current) {
        moveFromSilentRunner(active, actions);
        return;
    }
    if (active.current) {
        cancelAttempt(active, attempt_end::cancelled, actions);
    }
    if (now() < active.deadline) {
        endWithoutAnswer(active, refusal_reason::no_capacity, refusal_reason::attempts_exhausted_may_have_run, actions);
    } else if (m_stop.isOver(now())) {
        endWithoutAnswer(active, refusal_reason::stopping, refusal_reason::attempts_exhausted_may_have_run, actions);
    } else {
        endWithoutAnswer(active, refusal_reason::deadline_not_run, refusal_reason::deadline_may_have_run, actions);
    }
}

void forward_flow::moveFromSilentRunner(active_request &active, action_list &actions)
{
    // A silent runner may still answer: the attempt is cancelled only when another runner can take the request now.
    const std::optional<backend_choice> choice =
        mayRetry(active, m_environment.suspects, now()) ? pickForRetry(active) : std::nullopt;
    if (!choice || !m_retryBudget.tryTake(active.service, vmCount(), now())) {
        active.current->lastActivity = now();
        scheduleDeadline(active);
        return;
    }
    actions.push_back(silentRunnerLeftLine(active, *choice));
    cancelAttempt(active, attempt_end::lost, actions);
    startAttempt(active, requirementsOf(active, versionRule(active)), *choice, actions);
}

steady_time forward_flow::nextDeadline() const
{
    const steady_time held = m_startupQueue.nextDeadline();
    return std::min(m_deadlines.next(), held == steady_time::max() ? held : m_stop.limit(held));
}

std::size_t forward_flow::size() const
{
    return m_activeRequests.size() + m_startupQueue.size();
}

std::string forward_flow::describeOldest() const
{
    const auto oldest =
        std::min_element(m_activeRequests.begin(), m_activeRequests.end(), [](const auto &left, const auto &right) {
            return left.second.arrivedAt < right.second.arrivedAt;
        });
    return oldest == m_activeRequests.end() ? std::string() : requestDescription(oldest->second, now());
}

std::size_t forward_flow::waiting() const
{
    return m_queue.size();
}

std::uint64_t forward_flow::refusedByForecast() const
{
    return m_refusedByForecast;
}

} // namespace crocuslane
