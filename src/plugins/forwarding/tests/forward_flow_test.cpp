#include "base/random_source.h"
#include "plugins/forwarding/forward_flow.h"
#include "support/action_queries.h"

#include <catch2/catch.hpp>
#include <xxhash.h>

#include <map>
#include <utility>

namespace crocuslane {

/// Definition for the tests: forward_flow only passes pointers to answers on to actions.
class runner_answer
{
};

} // namespace crocuslane

using namespace crocuslane;

namespace {

class fake_routes : public route_source
{
public:
    std::variant<route_match, refusal_reason>
    match(const std::string & /*host*/, const std::string &path, const std::string & /*key*/) const override
    {
        if (!content) {
            return refusal_reason::no_configuration;
        }
        route_match found;
        found.configuration = content;
        for (const forward_route &route : content->routes) {
            if (route.pathPrefix == path) {
                found.route = &route;
                return found;
            }
        }
        return refusal_reason::no_route;
    }

    std::shared_ptr<const forward_configuration> configuration() const override
    {
        return content;
    }

    std::shared_ptr<forward_configuration> content;
};

/// Picks runners in the order of their ids; each runner takes one request at a time.
class fake_backends : public backend_picker
{
public:
    bool isListRead() const override
    {
        return isRead;
    }

    std::optional<backend_choice> pick(const backend_requirements &requirements) override
    {
        lastModel = requirements.model;
        for (const std::string &id : runners) {
            if (!busy.contains(id) && !requirements.excluded->contains(runner_id(id))) {
                return backend_choice{runner_id(id), id + ":80", "v1", expectedDelay};
            }
        }
        return std::nullopt;
    }

    std::optional<duration> limitDelay(const backend_requirements & /*requirements*/, std::size_t before) override
    {
        const bool isLimited = delayByLimit && *delayByLimit > duration::zero();
        const duration delayByOthers = std::chrono::seconds(before);
        return isLimited ? std::optional(*delayByLimit + delayByOthers) : delayByLimit;
    }

    bool hasRunner(const backend_requirements &requirements) const override
    {
        for (const std::string &id : runners) {
            if (!requirements.excluded->contains(runner_id(id))) {
                return true;
            }
        }
        return false;
    }

    void attemptStarted(attempt_number attempt,
                        const backend_requirements & /*requirements*/,
                        const runner_id &runner) override
    {
        busy.insert(runner.value());
        attempts[attempt] = runner.value();
    }

    void answerBegan(attempt_number /*attempt*/) override
    {
    }

    prefill_estimate estimatePrefill(const std::string & /*model*/, std::uint32_t /*promptTokens*/) const override
    {
        return estimate;
    }

    void attemptEnded(attempt_number attempt, attempt_end end) override
    {
        busy.erase(attempts[attempt]);
        ends.push_back(end);
    }

    void noteLoad(const runner_id & /*runner*/, const reported_load & /*load*/) override
    {
    }

    bool isRead = true;
    std::vector<std::string> runners{"a", "b", "c"};
    std::set<std::string> busy;
    std::map<attempt_number, std::string> attempts;
    std::vector<attempt_end> ends;
    std::string lastModel;
    /// Empty when the limits leave no request for this VM.
    std::optional<duration> delayByLimit = duration::zero();
    duration expectedDelay = std::chrono::milliseconds(10);
    prefill_estimate estimate{std::chrono::milliseconds(10), std::chrono::milliseconds(5)};
};

class forward_flow_fixture
{
protected:
    forward_flow_fixture()
    {
        m_routes.content = std::make_shared<forward_configuration>();
        m_routes.content->version = 1;
        addRoute("/look/", route_kind::idempotent);
        addRoute("/order/", route_kind::non_idempotent);
        addRoute("/stream/", route_kind::resumable_stream);
        addRoute("/once/", route_kind::stream);
        addRoute("/model/", route_kind::resumable_stream, {"small", "large"});
        m_environment.time = &m_clock;
        m_environment.random = &m_random;
        m_environment.routes = &m_routes;
        m_environment.backends = &m_backends;
        m_settings.retryShare = 10.0;
        m_flow.emplace(m_environment, m_settings);
    }

    void addRoute(const std::string &prefix, route_kind kind, const std::vector<std::string> &models = {})
    {
        forward_route route;
        route.name = prefix;
        route.pathPrefix = prefix;
        route.kind = kind;
        route.timeout = std::chrono::seconds(10);
        route.objective = std::chrono::seconds(1);
        route.eventInterval = std::chrono::milliseconds(800);
        route.maximumAttempts = 3;
        route.services = {{service_id("service"), 1.0}};
        for (const std::string &model : models) {
            route.models.emplace_back(model);
        }
        m_routes.content->routes.push_back(route);
    }

    action_list send(const std::string &path, const std::string &id = "r")
    {
        forward_request request;
        request.request = request_id(id);
        request.path = path;
        action_list actions;
        m_flow->receive(request, actions);
        return actions;
    }

    action_list head(attempt_number attempt, forward_answer_head head)
    {
        action_list actions;
        m_flow->receiveHead({attempt, std::move(head), nullptr}, actions);
        return actions;
    }

    action_list success(attempt_number attempt, std::optional<unsigned> confidence = {})
    {
        forward_answer_head content;
        content.status = 200;
        content.isGenuine = true;
        content.isEventStream = true;
        content.confidence = confidence;
        return head(attempt, content);
    }

    action_list refuseAsNotRun(attempt_number attempt)
    {
        forward_answer_head content;
        content.status = 503;
        content.isNotRun = true;
        return head(attempt, content);
    }

    action_list complete(attempt_number attempt)
    {
        action_list actions;
        m_flow->complete({attempt, nullptr}, actions);
        return actions;
    }

    action_list event(attempt_number attempt, std::uint64_t number)
    {
        action_list actions;
        m_flow->receiveEvent({attempt, number, true, "data"}, actions);
        return actions;
    }

    action_list unnumberedEvent(attempt_number attempt)
    {
        action_list actions;
        m_flow->receiveEvent({attempt, std::nullopt, true, "data"}, actions);
        return actions;
    }

    /// A stream whose first runner is lost after event 1; returns the attempt that continues it.
    attempt_number continuedStream()
    {
        const auto first = one<start_forward>(send("/stream/"));
        success(first.attempt);
        event(first.attempt, 1);
        return one<start_forward>(fail(first.attempt, attempt_failure::connection_lost)).attempt;
    }

    action_list fail(attempt_number attempt, attempt_failure failure)
    {
        action_list actions;
        m_flow->fail({attempt, failure}, actions);
        return actions;
    }

    action_list wait(std::chrono::milliseconds time)
    {
        m_clock.advance(time);
        action_list actions;
        m_flow->expire(actions);
        return actions;
    }

    static refusal_reason refusal(const action_list &actions)
    {
        return one<refuse_forward>(actions).reason;
    }

    manual_clock m_clock;
    seeded_random m_random{1};
    fake_routes m_routes;
    fake_backends m_backends;
    forward_environment m_environment;
    forwarding_settings m_settings;
    std::optional<forward_flow> m_flow;
};

} // namespace

// Guards against status 401 or 404 from a VM that has not read a configuration yet, and against a caller that waits for
// one without a bound.
TEST_CASE_METHOD(forward_flow_fixture,
                 "request, no configuration within its wait, is refused for that reason",
                 "[forwarding]")
{
    m_routes.content = nullptr;
    CHECK(all<refuse_forward>(send("/look/")).empty());
    CHECK(m_flow->size() == 1);
    CHECK(refusal(wait(std::chrono::milliseconds(1000))) == refusal_reason::no_configuration);
    CHECK(m_flow->size() == 0);
}

// Guards against the refusals after a start of all VMs: a VM has its configuration a fraction of a second after it
// accepts connections, and the caller has few retries.
TEST_CASE_METHOD(forward_flow_fixture,
                 "request, configuration and runners read within its wait, is started",
                 "[forwarding]")
{
    const std::shared_ptr<forward_configuration> content = std::exchange(m_routes.content, nullptr);
    m_backends.isRead = false;
    CHECK(one<log_decision>(send("/look/")).event == "request_held");
    CHECK(wait(std::chrono::milliseconds(200)).empty());
    action_list actions;
    m_routes.content = content;
    m_flow->startWaitingForConfiguration(actions);
    CHECK(actions.empty());
    m_backends.isRead = true;
    m_flow->startWaitingForConfiguration(actions);
    CHECK(one<start_forward>(actions).timeLeft == std::chrono::milliseconds(9800));
}

// Guards against the start of a request whose caller has disconnected while the configuration was read.
TEST_CASE_METHOD(forward_flow_fixture,
                 "caller, disconnects before the configuration is read, request is not started",
                 "[forwarding]")
{
    const std::shared_ptr<forward_configuration> content = std::exchange(m_routes.content, nullptr);
    send("/look/");
    action_list actions;
    m_flow->abandon(request_id("r"), actions);
    m_routes.content = content;
    m_flow->startWaitingForConfiguration(actions);
    CHECK(actions.empty());
    CHECK(m_flow->size() == 0);
}

// Guards against a non-idempotent request that runs twice: after a lost answer, the first attempt may have run.
TEST_CASE_METHOD(forward_flow_fixture, "order, answer lost, is not retried and may have run", "[forwarding]")
{
    const auto start = one<start_forward>(send("/order/"));
    const action_list ended = fail(start.attempt, attempt_failure::connection_lost);
    CHECK(all<start_forward>(ended).empty());
    CHECK(refusal(ended) == refusal_reason::attempts_exhausted_may_have_run);
}

// Guards against a non-idempotent request that is refused although no runner has run it.
TEST_CASE_METHOD(forward_flow_fixture,
                 "order, runner states not run or no connection, is retried at another runner",
                 "[forwarding]")
{
    const auto first = one<start_forward>(send("/order/"));
    const auto second = one<start_forward>(refuseAsNotRun(first.attempt));
    CHECK(second.runner != first.runner);
    const auto third = one<start_forward>(fail(second.attempt, attempt_failure::not_sent));
    CHECK(third.runner == runner_id("c"));
    success(third.attempt);
    one<deliver_answer>(complete(third.attempt));
}

// Guards against a refusal that states "not run" although one of the attempts may have run.
TEST_CASE_METHOD(forward_flow_fixture, "look-up, one attempt lost and others refused, may have run", "[forwarding]")
{
    auto start = one<start_forward>(send("/look/"));
    start = one<start_forward>(fail(start.attempt, attempt_failure::connection_lost));
    start = one<start_forward>(refuseAsNotRun(start.attempt));
    CHECK(refusal(refuseAsNotRun(start.attempt)) == refusal_reason::attempts_exhausted_may_have_run);
}

// Guards against a refusal that states "may have run" although no attempt ran.
TEST_CASE_METHOD(forward_flow_fixture,
                 "order, refused by as many runners as allowed, is stated as not run",
                 "[forwarding]")
{
    auto start = one<start_forward>(send("/order/"));
    start = one<start_forward>(refuseAsNotRun(start.attempt));
    start = one<start_forward>(refuseAsNotRun(start.attempt));
    const action_list ended = refuseAsNotRun(start.attempt);
    CHECK(refusal(ended) == refusal_reason::attempts_exhausted_not_run);
    CHECK(one<refuse_forward>(ended).retryAfter > duration::zero());
}

// Guards against an earlier refusal of the same attempt, written once more on its connection, that is taken for the
// answer to a later run at the same runner: it names the attempt.
TEST_CASE_METHOD(forward_flow_fixture,
                 "order, refused and sent to the same runner again, uses a new connection",
                 "[forwarding]")
{
    m_backends.runners = {"a", "b"};
    const auto first = one<start_forward>(send("/order/"));
    const auto second = one<start_forward>(refuseAsNotRun(first.attempt));
    const auto third = one<start_forward>(refuseAsNotRun(second.attempt));
    CHECK_FALSE(first.usesNewConnection);
    CHECK_FALSE(second.usesNewConnection);
    CHECK(third.runner == first.runner);
    CHECK(third.usesNewConnection);
}

// Guards against sending the answer of another request to the caller.
TEST_CASE_METHOD(forward_flow_fixture,
                 "answer, of another attempt, is dropped and the attempt cancelled",
                 "[forwarding]")
{
    const auto start = one<start_forward>(send("/look/"));
    forward_answer_head foreign;
    foreign.status = 200;
    const action_list actions = head(start.attempt, foreign);
    CHECK(one<cancel_attempt>(actions).attempt == start.attempt);
    CHECK(one<start_forward>(actions).runner == runner_id("b"));
    CHECK(complete(start.attempt).empty());
}

// Guards against a missing or a duplicate event after a resume.
TEST_CASE_METHOD(forward_flow_fixture,
                 "stream, connection to the runner lost, another runner continues after the last event",
                 "[forwarding]")
{
    const auto first = one<start_forward>(send("/stream/"));
    success(first.attempt);
    one<begin_stream>(event(first.attempt, 1));
    one<send_stream_event>(event(first.attempt, 2));
    const auto second = one<start_forward>(fail(first.attempt, attempt_failure::connection_lost));
    CHECK(second.resumeAfter == 2);
    success(second.attempt);
    CHECK(all<send_stream_event>(event(second.attempt, 2)).empty());
    const action_list next = event(second.attempt, 3);
    CHECK(all<begin_stream>(next).empty());
    one<send_stream_event>(next);
    one<finish_stream>(complete(second.attempt));
}

// Guards against a stream that continues after a missing event.
TEST_CASE_METHOD(forward_flow_fixture, "stream, event missing, is requested again from the last event", "[forwarding]")
{
    const auto first = one<start_forward>(send("/stream/"));
    success(first.attempt);
    event(first.attempt, 1);
    const action_list gap = event(first.attempt, 3);
    CHECK(all<send_stream_event>(gap).empty());
    CHECK(one<start_forward>(gap).resumeAfter == 1);
}

// Guards against a truncated stream that looks complete, and against a second run of a stream that may not be resumed.
TEST_CASE_METHOD(forward_flow_fixture, "stream, may not be resumed and connection lost, is aborted", "[forwarding]")
{
    const auto start = one<start_forward>(send("/once/"));
    success(start.attempt);
    event(start.attempt, 1);
    const action_list ended = fail(start.attempt, attempt_failure::connection_lost);
    CHECK(all<start_forward>(ended).empty());
    one<abort_stream>(ended);
}

// Guards against the text of an error in the middle of a stream, and against its end as if it were complete: neither an
// error nor a success of another form continues a stream.
TEST_CASE_METHOD(forward_flow_fixture,
                 "stream, broken off and next runner answers with no event stream, is never delivered",
                 "[forwarding]")
{
    const std::uint32_t status = GENERATE(200U, 204U, 404U, 500U);
    const bool isGenuine = GENERATE(true, false);
    INFO(status << isGenuine);
    const attempt_number second = continuedStream();
    forward_answer_head error;
    error.status = status;
    error.isGenuine = isGenuine;
    action_list actions = head(second, error);
    const action_list completed = complete(second);
    actions.insert(actions.end(), completed.begin(), completed.end());
    // A runner's own 404 is its answer to the request; all others are tried again.
    const bool isTriedAgain = status != 404 || !isGenuine;
    if (isTriedAgain) {
        const action_list ended = fail(one<start_forward>(actions).attempt, attempt_failure::connection_lost);
        actions.insert(actions.end(), ended.begin(), ended.end());
    }
    one<abort_stream>(actions);
    CHECK(all<finish_stream>(actions).empty());
    CHECK(all<deliver_answer>(actions).empty());
    CHECK(all<refuse_forward>(actions).empty());
    CHECK(all<send_stream_event>(actions).empty());
    CHECK(m_flow->size() == 0);
}

// Guards against the text of an error that comes as an event of a stream: without a number it has no place in it.
TEST_CASE_METHOD(forward_flow_fixture,
                 "stream, continued and first event has no number, is requested again",
                 "[forwarding]")
{
    const attempt_number second = continuedStream();
    success(second);
    const action_list actions = unnumberedEvent(second);
    CHECK(all<send_stream_event>(actions).empty());
    CHECK(one<cancel_attempt>(actions).attempt == second);
    CHECK(one<start_forward>(actions).resumeAfter == 1);
}

// Guards against events that a caller gets twice: without numbers, no runner can continue after the last one.
TEST_CASE_METHOD(forward_flow_fixture, "stream, event without number and connection lost, is aborted", "[forwarding]")
{
    const auto first = one<start_forward>(send("/stream/"));
    success(first.attempt);
    one<send_stream_event>(unnumberedEvent(first.attempt));
    const action_list ended = fail(first.attempt, attempt_failure::connection_lost);
    CHECK(all<start_forward>(ended).empty());
    one<abort_stream>(ended);
}

// Guards against a resumed stream that is refused although its last event had been sent.
TEST_CASE_METHOD(forward_flow_fixture, "stream, continued and no event is left, is complete", "[forwarding]")
{
    const attempt_number second = continuedStream();
    success(second);
    one<finish_stream>(complete(second));
}

// Guards against a success without its body: the answer on a route of streams need not be one.
TEST_CASE_METHOD(forward_flow_fixture, "stream request, answer is no event stream, is delivered", "[forwarding]")
{
    const auto start = one<start_forward>(send("/once/"));
    forward_answer_head plain;
    plain.status = 200;
    plain.isGenuine = true;
    head(start.attempt, plain);
    const action_list ended = complete(start.attempt);
    one<deliver_answer>(ended);
    CHECK(all<begin_stream>(ended).empty());
}

// Guards against moving a stream after a short pause, which the runner makes to prefill a long prompt of another
// request.
TEST_CASE_METHOD(forward_flow_fixture,
                 "stream, pauses for little more than its interval, stays at its runner",
                 "[forwarding]")
{
    const auto start = one<start_forward>(send("/stream/"));
    success(start.attempt);
    event(start.attempt, 1);
    CHECK(all<cancel_attempt>(wait(std::chrono::milliseconds(1000))).empty());
    const action_list moved = wait(std::chrono::milliseconds(500));
    CHECK(one<cancel_attempt>(moved).attempt == start.attempt);
    CHECK(one<start_forward>(moved).resumeAfter == 1);
}

// Guards against a stalled runner that holds a request with a comment or an old event now and then.
TEST_CASE_METHOD(forward_flow_fixture,
                 "stream, only comments and known events arrive, is moved like a silent one",
                 "[forwarding]")
{
    const auto start = one<start_forward>(send("/stream/"));
    success(start.attempt);
    event(start.attempt, 1);
    action_list actions = wait(std::chrono::milliseconds(250));
    for (int round = 0; round < 6 && all<cancel_attempt>(actions).empty(); ++round) {
        CHECK(event(start.attempt, 1).empty());
        action_list comment;
        m_flow->receiveEvent({start.attempt, std::nullopt, false, ": wait"}, comment);
        one<send_stream_event>(comment);
        actions = wait(std::chrono::milliseconds(250));
    }
    CHECK(one<cancel_attempt>(actions).attempt == start.attempt);
    CHECK(one<start_forward>(actions).resumeAfter == 1);
}

// Guards against a sound stream that is cut because its events come slowly.
TEST_CASE_METHOD(forward_flow_fixture, "stream, slow but steady events, stays at its runner", "[forwarding]")
{
    const auto start = one<start_forward>(send("/stream/"));
    success(start.attempt);
    for (std::uint64_t number = 1; number < 8; ++number) {
        one<send_stream_event>(event(start.attempt, number));
        CHECK(all<cancel_attempt>(wait(std::chrono::milliseconds(1200))).empty());
    }
}

// Guards against cancelling a silent attempt although no other runner can continue the stream.
TEST_CASE_METHOD(forward_flow_fixture, "stream, silent and no other runner free, stays at its runner", "[forwarding]")
{
    m_backends.runners = {"a"};
    const auto start = one<start_forward>(send("/stream/"));
    success(start.attempt);
    event(start.attempt, 1);
    for (int round = 0; round < 5; ++round) {
        CHECK(wait(std::chrono::milliseconds(1500)).empty());
    }
    one<send_stream_event>(event(start.attempt, 2));
}

// Guards against an idempotent request that stays at a silent runner, and against a non-idempotent one that is moved.
TEST_CASE_METHOD(forward_flow_fixture, "silence, before the answer, moves only idempotent requests", "[forwarding]")
{
    one<start_forward>(send("/look/", "look"));
    one<start_forward>(send("/order/", "order"));
    const action_list moved = wait(std::chrono::milliseconds(800));
    CHECK(one<start_forward>(moved).request == request_id("look"));
}

// Guards against a caller that waits beyond the route's timeout, and against stating "not run" of a started request.
TEST_CASE_METHOD(forward_flow_fixture, "deadline, request at a runner, is refused and may have run", "[forwarding]")
{
    const auto start = one<start_forward>(send("/order/"));
    const action_list ended = wait(std::chrono::seconds(10));
    CHECK(one<cancel_attempt>(ended).attempt == start.attempt);
    CHECK(refusal(ended) == refusal_reason::deadline_may_have_run);
}

// Guards against requests that are cut without an answer at the end of a planned stop.
TEST_CASE_METHOD(forward_flow_fixture, "planned stop, time is over, answers the requests that are left", "[forwarding]")
{
    m_backends.runners = {"a"};
    send("/order/", "at-runner");
    send("/order/", "queued");
    m_flow->stop(std::chrono::milliseconds(300));
    CHECK(all<refuse_forward>(wait(std::chrono::milliseconds(290))).empty());
    const auto refusals = all<refuse_forward>(wait(std::chrono::milliseconds(10)));
    REQUIRE(refusals.size() == 2);
    for (const refuse_forward &each : refusals) {
        const bool isAtRunner = each.request == request_id("at-runner");
        CHECK(each.reason == (isAtRunner ? refusal_reason::attempts_exhausted_may_have_run : refusal_reason::stopping));
    }
    CHECK(m_flow->size() == 0);
}

// Guards against a request that is held for the configuration and cut without an answer at the end of a planned stop.
TEST_CASE_METHOD(forward_flow_fixture, "planned stop, held request and time is over, is refused", "[forwarding]")
{
    const auto configuration = std::exchange(m_routes.content, nullptr);
    send("/order/");
    m_flow->stop(std::chrono::milliseconds(100));
    CHECK(m_flow->nextDeadline() <= m_clock.steadyNow() + std::chrono::milliseconds(100));
    CHECK(refusal(wait(std::chrono::milliseconds(100))) == refusal_reason::no_configuration);
    CHECK(m_flow->size() == 0);
}

// Guards against an order that is started, again after a refusal or from the queue, so late that it is cut.
TEST_CASE_METHOD(forward_flow_fixture, "planned stop, order would take too long, isn't started", "[forwarding]")
{
    const auto usual = one<start_forward>(send("/order/", "usual"));
    m_clock.advance(std::chrono::seconds(2));
    success(usual.attempt);
    complete(usual.attempt);
    m_backends.runners = {"a"};
    const auto refused = one<start_forward>(send("/order/", "refused"));
    send("/order/", "queued");
    m_flow->stop(std::chrono::milliseconds(1900));
    CHECK(refusal(send("/order/", "new")) == refusal_reason::stopping);
    CHECK(refusal(refuseAsNotRun(refused.attempt)) == refusal_reason::stopping);
    action_list actions;
    m_flow->dispatchWaiting(actions);
    CHECK(refusal(actions) == refusal_reason::stopping);
    CHECK(all<start_forward>(send("/look/", "look")).size() == 1);
}

// Guards against a request that is held although no runner may take it in time, and against a time to retry at which it
// would be refused again.
TEST_CASE_METHOD(forward_flow_fixture,
                 "runners at their limits, no request in time, is refused at once with the time of the next",
                 "[forwarding]")
{
    m_backends.runners = {"a"};
    m_backends.busy = {"a"};
    m_backends.delayByLimit = std::chrono::milliseconds(700);
    const auto refused = one<refuse_forward>(send("/look/", "first"));
    CHECK(refused.reason == refusal_reason::runners_at_limit);
    CHECK(refused.retryAfter >= std::chrono::milliseconds(1000));
    CHECK(refused.retryAfter <= std::chrono::milliseconds(1900));
    m_backends.delayByLimit = std::chrono::milliseconds(300);
    CHECK(all<refuse_forward>(send("/look/", "second")).empty());
    CHECK(m_flow->waiting() == 1);
    // Behind the second.
    CHECK(refusal(send("/look/", "third")) == refusal_reason::runners_at_limit);
    m_backends.delayByLimit = std::nullopt;
    const auto elsewhere = one<refuse_forward>(send("/look/", "fourth"));
    CHECK(elsewhere.reason == refusal_reason::runners_at_limit);
    CHECK(elsewhere.retryAfter <= std::chrono::milliseconds(1200));
}

// Guards against refusals without evidence: when a burst meets full runners, nothing is known of their rate.
TEST_CASE_METHOD(forward_flow_fixture, "runners full, no start seen yet, queues all requests", "[forwarding]")
{
    m_backends.runners = {"a"};
    m_backends.busy = {"a"};
    for (unsigned each = 0; each < 30; ++each) {
        CHECK(all<refuse_forward>(send("/look/", "burst-" + std::to_string(each))).empty());
    }
    CHECK(m_flow->waiting() == 30);
}

// Guards against a request that waits until its queue deadline although the queue ahead can't have started by then, and
// against callers that are refused together and return together.
TEST_CASE_METHOD(forward_flow_fixture,
                 "runners full, long queue ahead, is refused at once with the backlog as Retry-After",
                 "[forwarding]")
{
    m_backends.runners = {"a"};
    attempt_number running = one<start_forward>(send("/look/", "first")).attempt;
    send("/look/", "second");
    send("/look/", "third");
    constexpr unsigned startsSeen = 12;
    for (unsigned each = 0; each < startsSeen; ++each) {
        wait(std::chrono::milliseconds(100));
        complete(running);
        action_list actions;
        m_flow->dispatchWaiting(actions);
        running = one<start_forward>(actions).attempt;
        CHECK(all<refuse_forward>(send("/look/", "steady-" + std::to_string(each))).empty());
    }
    // Ten starts per second, and half a second until the queue deadline.
    std::set<duration> retryTimes;
    for (unsigned each = 0; each < 30; ++each) {
        const auto refused = all<refuse_forward>(send("/look/", "burst-" + std::to_string(each)));
        if (!refused.empty()) {
            CHECK(refused[0].reason == refusal_reason::queueing_delay_too_long);
            CHECK(refused[0].retryAfter >= std::chrono::milliseconds(300));
            CHECK(refused[0].retryAfter <= std::chrono::milliseconds(2000));
            retryTimes.insert(refused[0].retryAfter);
        }
    }
    CHECK(m_flow->waiting() >= 4);
    CHECK(m_flow->waiting() <= 6);
    CHECK(m_flow->refusedByForecast() >= 24);
    CHECK(retryTimes.size() >= 20);
    // Once the queue is empty, a single request is tried again.
    wait(std::chrono::seconds(1));
    CHECK(m_flow->waiting() == 0);
    CHECK(all<refuse_forward>(send("/look/", "calm")).empty());
}

// Guards against a refusal that says not run for a request that may have run.
TEST_CASE_METHOD(forward_flow_fixture,
                 "runners at their limits, request was lost at a runner, is answered as may have run",
                 "[forwarding]")
{
    m_backends.runners = {"a", "b"};
    const auto started = one<start_forward>(send("/look/"));
    m_backends.busy = {"a", "b"};
    m_backends.delayByLimit = std::nullopt;
    CHECK(refusal(fail(started.attempt, attempt_failure::connection_lost))
          == refusal_reason::attempts_exhausted_may_have_run);
}

// Guards against a request that stays queued until its deadline although its answer would come too late.
TEST_CASE_METHOD(forward_flow_fixture,
                 "queued request, no capacity in time, is refused early with a time to retry",
                 "[forwarding]")
{
    m_backends.runners = {"a"};
    send("/look/", "first");
    CHECK(all<start_forward>(send("/look/", "second")).empty());
    CHECK(m_flow->waiting() == 1);
    const action_list ended = wait(std::chrono::milliseconds(600));
    const auto refused = one<refuse_forward>(ended);
    CHECK(refused.request == request_id("second"));
    CHECK(refused.reason == refusal_reason::no_capacity);
    CHECK(refused.retryAfter > duration::zero());
}

// Guards against a request that stays queued although a runner became free.
TEST_CASE_METHOD(forward_flow_fixture, "queued request, runner becomes free, is started", "[forwarding]")
{
    m_backends.runners = {"a"};
    const auto first = one<start_forward>(send("/look/", "first"));
    send("/look/", "second");
    success(first.attempt);
    complete(first.attempt);
    action_list actions;
    m_flow->dispatchWaiting(actions);
    CHECK(one<start_forward>(actions).request == request_id("second"));
    CHECK(m_flow->waiting() == 0);
}

// Guards against a runner that continues a request whose caller has disconnected.
TEST_CASE_METHOD(forward_flow_fixture, "caller, disconnects, frees the runner", "[forwarding]")
{
    const auto start = one<start_forward>(send("/stream/"));
    action_list actions;
    m_flow->abandon(request_id("r"), actions);
    CHECK(one<cancel_attempt>(actions).attempt == start.attempt);
    CHECK(m_backends.busy.empty());
    CHECK(m_flow->size() == 0);
}

// Guards against an error answer of a runner that is replaced by one of the router.
TEST_CASE_METHOD(forward_flow_fixture,
                 "runner, answers an order with an error, its answer is sent to the caller",
                 "[forwarding]")
{
    const auto start = one<start_forward>(send("/order/"));
    forward_answer_head failure;
    failure.status = 500;
    failure.isGenuine = true;
    head(start.attempt, failure);
    const runner_answer_pointer answer = std::make_shared<runner_answer>();
    action_list actions;
    m_flow->complete({start.attempt, answer}, actions);
    CHECK(all<start_forward>(actions).empty());
    CHECK(one<deliver_answer>(actions).answer == answer);
}

// Guards against answers of low confidence from a small model, and against the cost of the large model where the small
// one has high confidence.
TEST_CASE_METHOD(forward_flow_fixture,
                 "model, low confidence, is requested again from the largest model",
                 "[forwarding]")
{
    const auto first = one<start_forward>(send("/model/"));
    CHECK(first.model == "small");
    const action_list escalated = success(first.attempt, 20);
    CHECK(one<cancel_attempt>(escalated).attempt == first.attempt);
    const auto second = one<start_forward>(escalated);
    CHECK(second.model == "large");
    CHECK(all<start_forward>(success(second.attempt, 20)).empty());

    const auto highConfidence = one<start_forward>(send("/model/", "sure"));
    CHECK(all<start_forward>(success(highConfidence.attempt, 80)).empty());
}

// Guards against escalation under high load: the large model's answer would be late, and so would those of the other
// requests.
TEST_CASE_METHOD(forward_flow_fixture, "model, low confidence but large model slow, keeps the answer", "[forwarding]")
{
    m_backends.expectedDelay = std::chrono::milliseconds(600);
    const auto first = one<start_forward>(send("/model/"));
    CHECK(all<start_forward>(success(first.attempt, 30)).empty());
    one<begin_stream>(event(first.attempt, 1));
    const auto lowConfidence = one<start_forward>(send("/model/", "hopeless"));
    one<start_forward>(success(lowConfidence.attempt, 5));
}

// Guards against a long prompt that blocks a runner for seconds although its answer would be late in any case.
TEST_CASE_METHOD(forward_flow_fixture,
                 "model, low confidence but prefill longer than the objective, keeps the answer",
                 "[forwarding]")
{
    m_backends.estimate.prefillTime = std::chrono::milliseconds(1200);
    const auto first = one<start_forward>(send("/model/"));
    CHECK(all<start_forward>(success(first.attempt, 0)).empty());
    one<begin_stream>(event(first.attempt, 1));
}

// Guards against a second answer mixed into one that the caller already receives.
TEST_CASE_METHOD(forward_flow_fixture, "model, events already sent to the caller, is not changed", "[forwarding]")
{
    const auto first = one<start_forward>(send("/model/"));
    success(first.attempt, 90);
    event(first.attempt, 1);
    CHECK(all<start_forward>(success(first.attempt, 5)).empty());
}

// Guards against logs that can't tell what requests that lose their runners have in common.
TEST_CASE_METHOD(forward_flow_fixture,
                 "attempt, connection lost, log line names the shared prompt parts",
                 "[forwarding]")
{
    forward_request request;
    request.request = request_id("r");
    request.path = "/model/";
    request.prompt = {{0x5c1e07a2, 800}, {0x91bd3f06, 400}, {0xe4402b7d, 200}};
    action_list actions;
    m_flow->receive(request, actions);
    const action_list failed = fail(one<start_forward>(actions).attempt, attempt_failure::connection_lost);
    const log_decision line = all<log_decision>(failed).front();
    REQUIRE(line.event == "attempt_failed");
    CHECK(line.fields.back().first == "parts");
    CHECK(line.fields.back().second == "5c1e07a2,91bd3f06");
}

namespace {

class isolated_part_fixture : public forward_flow_fixture
{
protected:
    isolated_part_fixture()
        : m_suspects({&m_clock, vm_id("vm"), nullptr})
    {
        m_environment.suspects = &m_suspects;
    }

    action_list sendWithPart(std::uint64_t part, const std::string &id, const std::string &path = "/model/")
    {
        forward_request request;
        request.request = request_id(id);
        request.path = path;
        request.prompt = {{1, 800}, {part, 400}, {std::hash<std::string>{}(id), 200}};
        action_list actions;
        m_flow->receive(request, actions);
        return actions;
    }

    /// As another VM reports it.
    void isolatePart(std::uint64_t part)
    {
        crash_evidence evidence;
        evidence.parts.push_back({part, 1, {}, {}, crash_evidence::isolation{}});
        m_suspects.merge(evidence);
    }

    crash_suspects m_suspects;
};

} // namespace

// Guards against requests that reach runners although their part is known to crash them, and against callers that
// repeat them at once.
TEST_CASE_METHOD(isolated_part_fixture, "isolated part, new request, is refused at once as not run", "[forwarding]")
{
    isolatePart(7);
    const action_list actions = sendWithPart(7, "r");
    CHECK(refusal(actions) == refusal_reason::prompt_part_isolated);
    CHECK(one<refuse_forward>(actions).retryAfter >= std::chrono::seconds(10));
    CHECK(all<start_forward>(actions).empty());
    CHECK(m_flow->size() == 0);
    CHECK(all<start_forward>(sendWithPart(8, "other part")).size() == 1);
    forward_request own;
    own.request = request_id("own part");
    own.path = "/model/";
    own.prompt = {{1, 800}, {7, 200}};
    action_list ownActions;
    m_flow->receive(own, ownActions);
    CHECK(all<start_forward>(ownActions).size() == 1);
}

// Guards against requests that were queued before their part was isolated and reach runners afterwards.
TEST_CASE_METHOD(isolated_part_fixture, "isolated part, queued request, is refused as not run", "[forwarding]")
{
    for (const char *id : {"x", "y", "z"}) {
        REQUIRE(all<start_forward>(sendWithPart(8, id)).size() == 1);
    }
    REQUIRE(all<start_forward>(sendWithPart(7, "queued")).empty());
    REQUIRE(all<start_forward>(sendWithPart(8, "sound")).empty());
    isolatePart(7);
    action_list actions;
    m_flow->refuseIsolated(actions);
    CHECK(one<refuse_forward>(actions).request == request_id("queued"));
    CHECK(refusal(actions) == refusal_reason::prompt_part_isolated);
    CHECK(m_flow->waiting() == 1);
}

// Guards against a repetition that takes down one more runner, and against a promise that a request has not run which
// did.
TEST_CASE_METHOD(isolated_part_fixture, "isolated part, request loses its runner, is not repeated", "[forwarding]")
{
    const auto first = one<start_forward>(sendWithPart(7, "r"));
    isolatePart(7);
    action_list actions;
    m_flow->refuseIsolated(actions);
    CHECK(actions.empty());
    actions = fail(first.attempt, attempt_failure::connection_lost);
    CHECK(all<start_forward>(actions).empty());
    CHECK(refusal(actions) == refusal_reason::attempts_exhausted_may_have_run);
}

// Guards against a request that takes down as many runners as its route allows attempts.
TEST_CASE_METHOD(isolated_part_fixture, "suspected part, request lost two runners, takes no third", "[forwarding]")
{
    const auto crash = [this](const start_forward &attempt) {
        crash_evidence evidence;
        // Another VM saw the runner end.
        action_list actions = fail(attempt.attempt, attempt_failure::connection_lost);
        evidence.runners.push_back(
            {XXH3_64bits_withSeed(attempt.runner.value().data(), attempt.runner.value().size(), 0), {}});
        m_suspects.merge(evidence);
        return actions;
    };
    m_backends.runners = {"a", "b", "c", "d", "e", "f"};
    crash(one<start_forward>(sendWithPart(7, "first", "/order/")));
    m_backends.runners.erase(m_backends.runners.begin());
    const auto second = one<start_forward>(crash(one<start_forward>(sendWithPart(7, "second"))));
    // The loss of the second attempt is counted before the decision about a third one.
    crash_evidence evidence;
    evidence.runners.push_back(
        {XXH3_64bits_withSeed(second.runner.value().data(), second.runner.value().size(), 0), {}});
    m_suspects.merge(evidence);
    const action_list actions = fail(second.attempt, attempt_failure::connection_lost);
    CHECK(all<start_forward>(actions).empty());
    CHECK(refusal(actions) == refusal_reason::attempts_exhausted_may_have_run);
}
