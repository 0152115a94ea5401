#include "plugins/forwarding/forward_flow.h"

#include <fmt/format.h>

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::uint32_t firstServerError = 500;
constexpr std::uint32_t firstRedirection = 300;
// A request with less time left is not sent any more: the answer would come too late.
constexpr std::chrono::milliseconds shortestTimeLeft{30};
// Parts of the objective after which a silent attempt is given up, and a waiting request refused.
constexpr double silentPart = 0.7;
// A stream that has paused for longer than its interval is late already; moving it sooner would only read its prompt
// once more, while its runner reads a long prompt of another request.
constexpr double silentEventPart = 1.6;
constexpr double waitingPart = 0.5;
constexpr double shortestWaitingPart = 0.2;
constexpr int silentExpectations = 3;
constexpr std::chrono::milliseconds shortestSilence{500};
constexpr std::chrono::milliseconds shortestRetryAfter{300};
constexpr std::uint64_t retryAfterSpreadMilliseconds = 900;
constexpr std::uint32_t assumedOutputTokens = 200;
// An answer whose model is less sure of it is asked again of the largest model. The longer the answer of that model
// would take, the less sure the first one needs to be.
constexpr double sufficientConfidence = 50.0;
constexpr double leastConfidence = 15.0;
// Part of the objective after which the answer of a larger model would come too late.
constexpr double escalationPart = 0.5;

std::string milliseconds(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

std::uint32_t outputTokensOf(const forward_request &request)
{
    if (request.expectedTokens) {
        return *request.expectedTokens;
    }
    return request.maximumTokens > 0 ? request.maximumTokens : assumedOutputTokens;
}

bool isSuccess(std::uint32_t status)
{
    return status >= 200 && status < firstRedirection;
}

} // namespace

forward_flow::forward_flow(const flow_tools &tools, const forwarding_settings &settings)
    : m_tools(tools)
    , m_settings(settings)
    , m_budget({settings.retryShare, settings.retryAllowance, settings.retryWindow})
{
}

steady_time forward_flow::now() const
{
    return m_tools.time->steadyNow();
}

void forward_flow::receive(const forward_request &request, action_list &actions)
{
    run created;
    created.request = request;
    created.arrived = now();
    const auto found = m_tools.routes->match(request.host, request.path, request.callerKey);
    if (const auto *reason = std::get_if<refusal_reason>(&found)) {
        refuse(created, *reason, actions);
        return;
    }
    created.match = std::get<route_match>(found);
    const forward_route &route = created.route();
    const duration patience = request.callerTimeout > duration::zero() ? request.callerTimeout : route.timeout;
    created.deadline = created.arrived + std::min(patience, route.timeout);
    created.service = chooseService(route, request.session);
    created.engine = engineOf(*created.match.configuration, created.service);
    const bool isModelOpen = request.model.empty() && !route.models.empty();
    useModel(created, isModelOpen ? route.models.front().value() : std::string());
    created.lastEvent = request.resumeAfter;
    m_budget.noteRequest(created.service, now());
    run &added = m_runs.insert_or_assign(request.request, std::move(created)).first->second;
    startOrWait(added, actions);
}

const engine_description *forward_flow::engineOf(const forward_configuration &configuration,
                                                 const service_id &service) const
{
    for (const forward_service &each : configuration.services) {
        if (each.id == service) {
            return each.engine ? &*each.engine : nullptr;
        }
    }
    return nullptr;
}

service_id forward_flow::chooseService(const forward_route &route, const std::string &session) const
{
    double total = 0.0;
    for (const service_share &share : route.services) {
        total += share.weight;
    }
    // Requests of a session stay at one service.
    constexpr double hashRange = 4294967296.0;
    const double lot = session.empty() ? m_tools.random->unit()
                                       : static_cast<double>(std::hash<std::string>{}(session)&0xffffffffU) / hashRange;
    double rest = lot * total;
    for (const service_share &share : route.services) {
        rest -= share.weight;
        if (rest < 0.0) {
            return share.service;
        }
    }
    return route.services.empty() ? service_id() : route.services.back().service;
}

void forward_flow::useModel(run &run, std::string model) const
{
    run.model = std::move(model);
    run.prompt = run.request.prompt;
    const std::uint64_t salt = std::hash<std::string>{}(run.model.empty() ? run.request.model : run.model);
    for (prompt_part &part : run.prompt) {
        part.id ^= salt;
    }
}

bool forward_flow::escalate(run &run, action_list &actions)
{
    const forward_answer_head &head = run.current->head;
    if (run.hasBegun || run.model.empty() || !head.confidence || !isSuccess(head.status)) {
        return false;
    }
    const std::string before = run.model;
    const std::string &largest = run.route().models.back().value();
    const steady_time latest = run.arrived + fromSeconds(escalationPart * toSeconds(run.route().objective));
    if (before == largest || *head.confidence >= sufficientConfidence || !mayRepeat(run) || now() > latest) {
        return false;
    }
    useModel(run, largest);
    const std::optional<backend_choice> choice = pickAgain(run);
    if (!choice || *head.confidence >= neededConfidence(run, *choice)
        || !m_budget.take(run.service, vmCount(), now())) {
        useModel(run, before);
        return false;
    }
    actions.push_back(log_decision{"answer_escalated",
                                   run.request.request,
                                   {{"confidence", std::to_string(*head.confidence)},
                                    {"to", run.model},
                                    {"expected_ms", milliseconds(choice->expectedDelay)}}});
    cancelAttempt(run, attempt_end::cancelled, actions);
    startAttempt(run, needOf(run, versionRule(run)), *choice, actions);
    return true;
}

double forward_flow::neededConfidence(const run &run, const backend_choice &choice) const
{
    const double delay = toSeconds(choice.expectedDelay) / toSeconds(run.route().objective);
    return std::max(sufficientConfidence * (1.0 - delay), leastConfidence);
}

version_rule forward_flow::versionRule(const run &run) const
{
    return m_tools.rollouts == nullptr ? version_rule{} : m_tools.rollouts->rule(run.service);
}

std::optional<backend_choice> forward_flow::pickAgain(const run &run) const
{
    return m_tools.backends->pick(needOf(run, versionRule(run)));
}

backend_requirements forward_flow::needOf(const run &run, const version_rule &rule) const
{
    backend_requirements need;
    need.service = run.service;
    need.versions = rule;
    need.engine = run.engine;
    need.prompt = &run.prompt;
    need.model = run.model.empty() ? run.request.model : run.model;
    need.promptTokens = run.request.promptTokens;
    need.outputTokens = outputTokensOf(run.request);
    need.excluded = &run.tried;
    return need;
}

void forward_flow::startOrWait(run &run, action_list &actions)
{
    const unsigned rank = run.match.priority();
    if (m_line.before(run.service.value(), rank) == 0 && tryStart(run, actions)) {
        return;
    }
    if (!m_runs.contains(run.request.request)) {
        return;
    }
    if (!m_tools.backends->hasRunner(needOf(run, {}))) {
        endWithoutAnswer(run, refusal_reason::no_runner, refusal_reason::attempts_exhausted_may_have_run, actions);
        return;
    }
    run.waitingSince = now();
    m_line.push(run.request.request, run.service.value(), rank);
    schedule(run);
}

bool forward_flow::tryStart(run &run, action_list &actions)
{
    version_rule rule;
    if (m_tools.rollouts != nullptr) {
        const bool isFirst = run.attempts == 0;
        rule =
            isFirst ? m_tools.rollouts->choose(run.service, run.request.session) : m_tools.rollouts->rule(run.service);
    }
    backend_requirements need = needOf(run, rule);
    std::optional<backend_choice> choice = m_tools.backends->pick(need);
    if (!choice && m_tools.rollouts != nullptr) {
        need.versions = m_tools.rollouts->rule(run.service);
        choice = m_tools.backends->pick(need);
    }
    if (!choice) {
        return false;
    }
    startAttempt(run, need, *choice, actions);
    return true;
}

void forward_flow::startAttempt(run &run,
                                const backend_requirements &need,
                                const backend_choice &choice,
                                action_list &actions)
{
    attempt started;
    started.number = ++m_lastAttempt;
    started.runner = choice.runner;
    started.version = choice.version;
    started.started = now();
    started.lastHeard = now() + silentExpectations * choice.expectedDelay;
    run.current = started;
    ++run.attempts;
    ++run.attemptsThatMayHaveRun;
    run.tried.insert(choice.runner);
    m_byAttempt[started.number] = run.request.request;
    m_tools.backends->attemptStarted(started.number, need, choice.runner);
    start_forward action;
    action.attempt = started.number;
    action.request = run.request.request;
    action.runner = choice.runner;
    action.address = choice.address;
    if (run.match.organisation != nullptr) {
        action.organisation = run.match.organisation->id;
    }
    action.timeLeft = run.deadline - now();
    action.model = run.model;
    if (run.engine != nullptr) {
        action.priority = run.match.priority();
    }
    action.resumeAfter = run.lastEvent;
    action.isStream = isStream(run.route().kind);
    actions.push_back(log_decision{"attempt_started",
                                   run.request.request,
                                   {{"attempt", std::to_string(run.attempts)},
                                    {"runner", choice.runner.value()},
                                    {"version", choice.version},
                                    {"model", run.model},
                                    {"expected_ms", milliseconds(choice.expectedDelay)},
                                    {"left_ms", milliseconds(action.timeLeft)}}});
    actions.push_back(std::move(action));
    schedule(run);
}

forward_flow::run *forward_flow::runOf(attempt_number attempt)
{
    const auto found = m_byAttempt.find(attempt);
    if (found == m_byAttempt.end()) {
        return nullptr;
    }
    const auto owner = m_runs.find(found->second);
    return owner == m_runs.end() ? nullptr : &owner->second;
}

void forward_flow::receiveHead(const forward_head_received &received, action_list &actions)
{
    run *found = runOf(received.attempt);
    if (found == nullptr) {
        return;
    }
    run &run = *found;
    run.current->answer = received.answer;
    run.current->head = received.head;
    run.confidence = received.head.confidence;
    run.current->lastHeard = std::max(run.current->lastHeard, now());
    if (received.head.load) {
        m_tools.backends->noteLoad(run.current->runner, *received.head.load);
    }
    if (received.head.isNotRun || received.head.isMisdirected || !received.head.isGenuine) {
        logRefusedHead(run, received.head, actions);
    }
    if (received.head.isNotRun || received.head.isMisdirected) {
        --run.attemptsThatMayHaveRun;
        cancelAttempt(run, received.head.isMisdirected ? attempt_end::misdirected : attempt_end::refused, actions);
        repeat(run, actions);
        return;
    }
    if (!received.head.isGenuine) {
        cancelAttempt(run, attempt_end::lost, actions);
        repeat(run, actions);
        return;
    }
    if (!escalate(run, actions)) {
        schedule(run);
    }
}

void forward_flow::logRefusedHead(const run &run, const forward_answer_head &head, action_list &actions) const
{
    std::string_view meaning = "answer_not_genuine";
    if (head.isMisdirected) {
        meaning = "other_runner_at_address";
    } else if (head.isNotRun) {
        meaning = "not_run";
    }
    actions.push_back(log_decision{"attempt_refused",
                                   run.request.request,
                                   {{"runner", run.current->runner.value()},
                                    {"status", std::to_string(head.status)},
                                    {"meaning", std::string(meaning)}}});
}

void forward_flow::receiveEvent(const forward_event_received &received, action_list &actions)
{
    run *found = runOf(received.attempt);
    if (found == nullptr) {
        return;
    }
    run &run = *found;
    if (run.hasBegun) {
        run.longestPause = std::max(run.longestPause, now() - run.current->lastHeard);
    }
    run.current->lastHeard = now();
    if (!run.current->hasEvent) {
        run.current->hasEvent = true;
        m_tools.backends->firstEventReceived(received.attempt);
    }
    if (received.number && run.lastEvent) {
        if (*received.number <= *run.lastEvent) {
            return;
        }
        if (*received.number != *run.lastEvent + 1) {
            cancelAttempt(run, attempt_end::lost, actions);
            repeat(run, actions);
            return;
        }
    }
    if (!run.hasBegun) {
        run.hasBegun = true;
        run.firstEventAt = now();
        actions.push_back(begin_stream{run.request.request, run.current->answer});
    }
    if (received.number) {
        run.lastEvent = received.number;
    }
    actions.push_back(send_stream_event{run.request.request, received.text});
    schedule(run);
}

void forward_flow::complete(const forward_completed &completed, action_list &actions)
{
    run *found = runOf(completed.attempt);
    if (found == nullptr) {
        return;
    }
    run &run = *found;
    const std::uint32_t status = run.current->head.status;
    const bool hasFailed = status >= firstServerError;
    observe(run, *run.current, hasFailed);
    endAttempt(run, hasFailed ? attempt_end::failed : attempt_end::complete);
    if (hasFailed) {
        run.failure = completed.answer;
        repeat(run, actions);
        return;
    }
    if (isStream(run.route().kind) && isSuccess(status)) {
        if (!run.hasBegun) {
            actions.push_back(begin_stream{run.request.request, completed.answer});
        }
        actions.push_back(finish_stream{run.request.request});
        finish(run, "answered", actions);
        return;
    }
    if (run.hasBegun) {
        // The head of another answer is on its way to the caller already.
        actions.push_back(abort_stream{run.request.request});
        finish(run, "broken_off", actions);
        return;
    }
    actions.push_back(deliver_answer{run.request.request, completed.answer});
    finish(run, "answered", actions);
}

void forward_flow::fail(const forward_failed &failed, action_list &actions)
{
    run *found = runOf(failed.attempt);
    if (found == nullptr) {
        return;
    }
    run &run = *found;
    actions.push_back(log_decision{"attempt_failed",
                                   run.request.request,
                                   {{"runner", run.current->runner.value()},
                                    {"failure", std::string(toName(failed.failure))},
                                    {"had_events", run.current->hasEvent ? "true" : "false"},
                                    {"milliseconds", milliseconds(now() - run.current->started)}}});
    if (failed.failure == attempt_failure::not_sent) {
        --run.attempts;
        --run.attemptsThatMayHaveRun;
        endAttempt(run, attempt_end::not_sent);
    } else {
        observe(run, *run.current, true);
        endAttempt(run, attempt_end::lost);
    }
    repeat(run, actions);
}

bool forward_flow::mayRepeat(const run &run) const
{
    const bool isAllowed = isRepeatable(run.route().kind) || run.attemptsThatMayHaveRun == 0;
    return isAllowed && run.attempts < run.route().maximumAttempts && run.deadline - now() > shortestTimeLeft;
}

void forward_flow::repeat(run &run, action_list &actions)
{
    const bool isFirstSend = run.attempts == 0;
    if (!mayRepeat(run) || (!isFirstSend && !m_budget.take(run.service, vmCount(), now()))) {
        endWithoutAnswer(
            run, refusal_reason::attempts_exhausted_not_run, refusal_reason::attempts_exhausted_may_have_run, actions);
        return;
    }
    if (!m_tools.backends->hasRunner(needOf(run, {}))) {
        // Every runner was tried; one that refused before may have room by now.
        run.tried.clear();
    }
    startOrWait(run, actions);
}

std::size_t forward_flow::vmCount() const
{
    return m_tools.members == nullptr ? 1 : std::max<std::size_t>(m_tools.members->members().size(), 1);
}

void forward_flow::endAttempt(run &run, attempt_end end)
{
    m_byAttempt.erase(run.current->number);
    m_tools.backends->attemptEnded(run.current->number, end);
    run.current.reset();
}

void forward_flow::cancelAttempt(run &run, attempt_end end, action_list &actions)
{
    actions.push_back(cancel_attempt{run.current->number});
    if (end == attempt_end::lost) {
        observe(run, *run.current, true);
    }
    endAttempt(run, end);
}

void forward_flow::observe(const run &run, const attempt &attempt, bool hasFailed)
{
    if (m_tools.rollouts == nullptr) {
        return;
    }
    version_observation observation;
    observation.service = run.service;
    observation.version = attempt.version;
    observation.hasFailed = hasFailed;
    observation.delay = now() - attempt.started;
    observation.promptTokens = run.request.promptTokens;
    m_tools.rollouts->observe(observation);
}

void forward_flow::endWithoutAnswer(run &run, refusal_reason notRun, refusal_reason mayHaveRun, action_list &actions)
{
    if (run.hasBegun) {
        actions.push_back(abort_stream{run.request.request});
        finish(run, "broken_off", actions);
        return;
    }
    if (run.failure) {
        actions.push_back(deliver_answer{run.request.request, run.failure});
        finish(run, "runner_failed", actions);
        return;
    }
    refuse(run, run.attemptsThatMayHaveRun > 0 ? mayHaveRun : notRun, actions);
}

void forward_flow::refuse(run &run, refusal_reason reason, action_list &actions)
{
    actions.push_back(refuse_forward{run.request.request, reason, retryAfter(run)});
    finish(run, toName(reason), actions);
}

duration forward_flow::retryAfter(const run & /*run*/) const
{
    // Spread, so that callers that were refused together don't come back together.
    return shortestRetryAfter + std::chrono::milliseconds(m_tools.random->below(retryAfterSpreadMilliseconds));
}

void forward_flow::finish(run &run, std::string_view outcome, action_list &actions)
{
    log_decision line{"request_finished",
                      run.request.request,
                      {{"outcome", std::string(outcome)},
                       {"attempts", std::to_string(run.attempts)},
                       {"milliseconds", milliseconds(now() - run.arrived)}}};
    if (run.match.route != nullptr) {
        line.fields.emplace_back("route", run.route().name);
        line.fields.emplace_back("service", run.service.value());
        line.fields.emplace_back("model", run.model);
        line.fields.emplace_back("priority", std::to_string(run.match.priority()));
        if (run.confidence) {
            line.fields.emplace_back("confidence", std::to_string(*run.confidence));
        }
        if (run.hasBegun) {
            line.fields.emplace_back("first_event_ms", milliseconds(run.firstEventAt - run.arrived));
            line.fields.emplace_back("longest_pause_ms", milliseconds(run.longestPause));
        }
        line.fields.emplace_back("configuration", std::to_string(run.match.configuration->version));
        std::string runners;
        for (const runner_id &runner : run.tried) {
            runners += (runners.empty() ? "" : ",") + runner.value();
        }
        line.fields.emplace_back("runners", std::move(runners));
    }
    actions.push_back(std::move(line));
    if (run.current) {
        endAttempt(run, attempt_end::cancelled);
    }
    const request_id request = run.request.request;
    m_line.remove(request);
    m_deadlines.clear(request);
    m_runs.erase(request);
}

void forward_flow::abandon(const request_id &request, action_list &actions)
{
    const auto found = m_runs.find(request);
    if (found == m_runs.end()) {
        return;
    }
    if (found->second.current) {
        cancelAttempt(found->second, attempt_end::cancelled, actions);
    }
    finish(found->second, "abandoned", actions);
}

void forward_flow::dispatchWaiting(action_list &actions)
{
    m_line.dispatch([&](const request_id &request) {
        const auto found = m_runs.find(request);
        return found == m_runs.end() || tryStart(found->second, actions);
    });
}

duration forward_flow::silenceLimit(const run &run) const
{
    const forward_route &route = run.route();
    if (run.current->hasEvent && route.eventInterval > duration::zero()) {
        return fromSeconds(silentEventPart * toSeconds(route.eventInterval));
    }
    return std::max<duration>(fromSeconds(silentPart * toSeconds(route.objective)), shortestSilence);
}

void forward_flow::schedule(const run &run)
{
    steady_time next = run.deadline;
    if (run.current && isRepeatable(run.route().kind)) {
        next = std::min(next, run.current->lastHeard + silenceLimit(run));
    }
    if (!run.current) {
        const double objective = toSeconds(run.route().objective);
        next = std::min(next,
                        std::max(run.arrived + fromSeconds(waitingPart * objective),
                                 run.waitingSince + fromSeconds(shortestWaitingPart * objective)));
    }
    m_deadlines.set(run.request.request, next);
}

void forward_flow::expire(action_list &actions)
{
    while (const std::optional<request_id> due = m_deadlines.takeExpired(now())) {
        const auto found = m_runs.find(*due);
        if (found == m_runs.end()) {
            continue;
        }
        run &run = found->second;
        if (now() >= run.deadline) {
            if (run.current) {
                cancelAttempt(run, attempt_end::cancelled, actions);
            }
            endWithoutAnswer(run, refusal_reason::deadline_not_run, refusal_reason::deadline_may_have_run, actions);
        } else if (!run.current) {
            endWithoutAnswer(
                run, refusal_reason::no_capacity, refusal_reason::attempts_exhausted_may_have_run, actions);
        } else {
            leaveSilentRunner(run, actions);
        }
    }
}

void forward_flow::leaveSilentRunner(run &run, action_list &actions)
{
    // A silent runner may still answer: the attempt ends only when another runner can go on at once.
    const std::optional<backend_choice> choice = mayRepeat(run) ? pickAgain(run) : std::nullopt;
    if (!choice || !m_budget.take(run.service, vmCount(), now())) {
        run.current->lastHeard = now();
        schedule(run);
        return;
    }
    actions.push_back(log_decision{"silent_runner_left",
                                   run.request.request,
                                   {{"runner", run.current->runner.value()},
                                    {"next", choice->runner.value()},
                                    {"had_events", run.current->hasEvent ? "true" : "false"}}});
    cancelAttempt(run, attempt_end::lost, actions);
    startAttempt(run, needOf(run, versionRule(run)), *choice, actions);
}

steady_time forward_flow::nextDeadline() const
{
    return m_deadlines.next();
}

std::size_t forward_flow::size() const
{
    return m_runs.size();
}

std::string forward_flow::describeOldest() const
{
    const auto oldest = std::min_element(m_runs.begin(), m_runs.end(), [](const auto &left, const auto &right) {
        return left.second.arrived < right.second.arrived;
    });
    if (oldest == m_runs.end()) {
        return {};
    }
    const run &run = oldest->second;
    std::string text = fmt::format("{} age_ms={} attempts={} left_ms={}",
                                   run.request.request.value(),
                                   milliseconds(now() - run.arrived),
                                   run.attempts,
                                   milliseconds(run.deadline - now()));
    if (run.lastEvent) {
        text += fmt::format(" last_event={}", *run.lastEvent);
    }
    if (run.current) {
        text += fmt::format(
            " runner={} heard_ms={}", run.current->runner.value(), milliseconds(now() - run.current->lastHeard));
    }
    return text;
}

std::size_t forward_flow::waiting() const
{
    return m_line.size();
}

} // namespace crocuslane
