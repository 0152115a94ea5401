#include "base/random_source.h"
#include "plugins/forwarding/forward_flow.h"
#include "support/action_queries.h"

#include <catch2/catch.hpp>

#include <map>

namespace crocuslane {

/// The decision code only hands it on.
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

/// Runners are picked in the order of their ids; each has room for one request at a time.
class fake_backends : public backend_picker
{
public:
    std::optional<backend_choice> pick(const backend_requirements &need) override
    {
        lastModel = need.model;
        for (const std::string &id : runners) {
            if (!busy.contains(id) && !need.excluded->contains(runner_id(id))) {
                return backend_choice{runner_id(id), id + ":80", "v1", expectedDelay};
            }
        }
        return std::nullopt;
    }

    bool hasRunner(const backend_requirements &need) const override
    {
        for (const std::string &id : runners) {
            if (!need.excluded->contains(runner_id(id))) {
                return true;
            }
        }
        return false;
    }

    void attemptStarted(attempt_number attempt, const backend_requirements & /*need*/, const runner_id &runner) override
    {
        busy.insert(runner.value());
        attempts[attempt] = runner.value();
    }

    void firstEventReceived(attempt_number /*attempt*/) override
    {
    }

    void attemptEnded(attempt_number attempt, attempt_end end) override
    {
        busy.erase(attempts[attempt]);
        ends.push_back(end);
    }

    void noteLoad(const runner_id & /*runner*/, const reported_load & /*load*/) override
    {
    }

    std::vector<std::string> runners{"a", "b", "c"};
    std::set<std::string> busy;
    std::map<attempt_number, std::string> attempts;
    std::vector<attempt_end> ends;
    std::string lastModel;
    duration expectedDelay = std::chrono::milliseconds(10);
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
        m_tools.time = &m_clock;
        m_tools.random = &m_random;
        m_tools.routes = &m_routes;
        m_tools.backends = &m_backends;
        m_settings.retryShare = 10.0;
        m_flow.emplace(m_tools, m_settings);
    }

    void addRoute(const std::string &prefix, route_kind kind, const std::vector<std::string> &models = {})
    {
        forward_route route;
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

    action_list ask(const std::string &path, const std::string &id = "r")
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
        m_flow->receiveHead({attempt, head, nullptr}, actions);
        return actions;
    }

    action_list success(attempt_number attempt, std::optional<unsigned> confidence = {})
    {
        forward_answer_head content;
        content.status = 200;
        content.isGenuine = true;
        content.confidence = confidence;
        return head(attempt, content);
    }

    action_list notRun(attempt_number attempt)
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
        m_flow->receiveEvent({attempt, number, "data"}, actions);
        return actions;
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
    flow_tools m_tools;
    forwarding_settings m_settings;
    std::optional<forward_flow> m_flow;
};

} // namespace

// Guards against 401 or 404 from a VM that knows no configuration yet.
TEST_CASE_METHOD(forward_flow_fixture, "request, no configuration yet, is refused as such", "[forwarding]")
{
    m_routes.content = nullptr;
    CHECK(refusal(ask("/look/")) == refusal_reason::no_configuration);
    CHECK(m_flow->size() == 0);
}

// Guards against a tanker that is sent twice: after a lost answer the order may have run.
TEST_CASE_METHOD(forward_flow_fixture, "order, answer lost, is not repeated and not called not run", "[forwarding]")
{
    const auto start = one<start_forward>(ask("/order/"));
    const action_list ended = fail(start.attempt, attempt_failure::connection_lost);
    CHECK(all<start_forward>(ended).empty());
    CHECK(refusal(ended) == refusal_reason::attempts_exhausted_may_have_run);
}

// Guards against an order that is given up although no runner has it.
TEST_CASE_METHOD(forward_flow_fixture, "order, runner states not run or no connection, goes to another", "[forwarding]")
{
    const auto first = one<start_forward>(ask("/order/"));
    const auto second = one<start_forward>(notRun(first.attempt));
    CHECK(second.runner != first.runner);
    const auto third = one<start_forward>(fail(second.attempt, attempt_failure::not_sent));
    CHECK(third.runner == runner_id("c"));
    success(third.attempt);
    one<deliver_answer>(complete(third.attempt));
}

// Guards against a promise that is wrong: one of the attempts may have run.
TEST_CASE_METHOD(forward_flow_fixture,
                 "look-up, one attempt lost and others refused, is not called not run",
                 "[forwarding]")
{
    auto start = one<start_forward>(ask("/look/"));
    start = one<start_forward>(fail(start.attempt, attempt_failure::connection_lost));
    start = one<start_forward>(notRun(start.attempt));
    CHECK(refusal(notRun(start.attempt)) == refusal_reason::attempts_exhausted_may_have_run);
}

// Guards against a refusal without the promise although it is true.
TEST_CASE_METHOD(forward_flow_fixture,
                 "order, refused by as many runners as allowed, is called not run",
                 "[forwarding]")
{
    auto start = one<start_forward>(ask("/order/"));
    start = one<start_forward>(notRun(start.attempt));
    start = one<start_forward>(notRun(start.attempt));
    const action_list ended = notRun(start.attempt);
    CHECK(refusal(ended) == refusal_reason::attempts_exhausted_not_run);
    CHECK(one<refuse_forward>(ended).retryAfter > duration::zero());
}

// Guards against an answer of another request that reaches the caller.
TEST_CASE_METHOD(forward_flow_fixture, "answer, of another attempt, is dropped with its connection", "[forwarding]")
{
    const auto start = one<start_forward>(ask("/look/"));
    forward_answer_head foreign;
    foreign.status = 200;
    const action_list actions = head(start.attempt, foreign);
    CHECK(one<cancel_attempt>(actions).attempt == start.attempt);
    CHECK(one<start_forward>(actions).runner == runner_id("b"));
    CHECK(complete(start.attempt).empty());
}

// Guards against a hole or a doubled event after a resume.
TEST_CASE_METHOD(forward_flow_fixture,
                 "stream, runner breaks off, another continues behind the last event",
                 "[forwarding]")
{
    const auto first = one<start_forward>(ask("/stream/"));
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

// Guards against a stream with a missing event that goes on.
TEST_CASE_METHOD(forward_flow_fixture, "stream, event missing, is asked again from the last one", "[forwarding]")
{
    const auto first = one<start_forward>(ask("/stream/"));
    success(first.attempt);
    event(first.attempt, 1);
    const action_list gap = event(first.attempt, 3);
    CHECK(all<send_stream_event>(gap).empty());
    CHECK(one<start_forward>(gap).resumeAfter == 1);
}

// Guards against a cut stream that looks whole, and against a second run of a stream that may not be resumed.
TEST_CASE_METHOD(forward_flow_fixture, "stream, may not be resumed and breaks off, is aborted", "[forwarding]")
{
    const auto start = one<start_forward>(ask("/once/"));
    success(start.attempt);
    event(start.attempt, 1);
    const action_list ended = fail(start.attempt, attempt_failure::connection_lost);
    CHECK(all<start_forward>(ended).empty());
    one<abort_stream>(ended);
}

// Guards against a stream that is cut for a pause: the pause comes from a long prompt of another request.
TEST_CASE_METHOD(forward_flow_fixture, "stream, pauses for its interval, stays at its runner", "[forwarding]")
{
    const auto start = one<start_forward>(ask("/stream/"));
    success(start.attempt);
    event(start.attempt, 1);
    CHECK(all<cancel_attempt>(wait(std::chrono::milliseconds(1000))).empty());
    const action_list moved = wait(std::chrono::milliseconds(500));
    CHECK(one<cancel_attempt>(moved).attempt == start.attempt);
    CHECK(one<start_forward>(moved).resumeAfter == 1);
}

// Guards against a stream that is cut for silence although no other runner can go on.
TEST_CASE_METHOD(forward_flow_fixture, "stream, silent and no other runner free, is left where it is", "[forwarding]")
{
    m_backends.runners = {"a"};
    const auto start = one<start_forward>(ask("/stream/"));
    success(start.attempt);
    event(start.attempt, 1);
    for (int round = 0; round < 5; ++round) {
        CHECK(wait(std::chrono::milliseconds(1500)).empty());
    }
    one<send_stream_event>(event(start.attempt, 2));
}

// Guards against a request that a slow runner holds although it may run elsewhere, and an order that is moved so.
TEST_CASE_METHOD(forward_flow_fixture, "silence, before the answer, moves only what may be repeated", "[forwarding]")
{
    one<start_forward>(ask("/look/", "look"));
    one<start_forward>(ask("/order/", "order"));
    const action_list moved = wait(std::chrono::milliseconds(800));
    CHECK(one<start_forward>(moved).request == request_id("look"));
}

// Guards against a caller that waits beyond the route's time, and against a false promise at its end.
TEST_CASE_METHOD(forward_flow_fixture, "deadline, request at a runner, ends without a promise", "[forwarding]")
{
    const auto start = one<start_forward>(ask("/order/"));
    const action_list ended = wait(std::chrono::seconds(10));
    CHECK(one<cancel_attempt>(ended).attempt == start.attempt);
    CHECK(refusal(ended) == refusal_reason::deadline_may_have_run);
}

// Guards against a request that waits to its deadline although it can't be on time.
TEST_CASE_METHOD(forward_flow_fixture,
                 "waiting, no room in time, is refused early with a time to come back",
                 "[forwarding]")
{
    m_backends.runners = {"a"};
    ask("/look/", "first");
    CHECK(all<start_forward>(ask("/look/", "second")).empty());
    CHECK(m_flow->waiting() == 1);
    const action_list ended = wait(std::chrono::milliseconds(600));
    const auto refused = one<refuse_forward>(ended);
    CHECK(refused.request == request_id("second"));
    CHECK(refused.reason == refusal_reason::no_capacity);
    CHECK(refused.retryAfter > duration::zero());
}

// Guards against a request that waits on although a runner became free.
TEST_CASE_METHOD(forward_flow_fixture, "waiting, runner becomes free, is started", "[forwarding]")
{
    m_backends.runners = {"a"};
    const auto first = one<start_forward>(ask("/look/", "first"));
    ask("/look/", "second");
    success(first.attempt);
    complete(first.attempt);
    action_list actions;
    m_flow->dispatchWaiting(actions);
    CHECK(one<start_forward>(actions).request == request_id("second"));
    CHECK(m_flow->waiting() == 0);
}

// Guards against a runner that works on for a caller that has left.
TEST_CASE_METHOD(forward_flow_fixture, "caller, leaves, frees the runner", "[forwarding]")
{
    const auto start = one<start_forward>(ask("/stream/"));
    action_list actions;
    m_flow->abandon(request_id("r"), actions);
    CHECK(one<cancel_attempt>(actions).attempt == start.attempt);
    CHECK(m_backends.busy.empty());
    CHECK(m_flow->size() == 0);
}

// Guards against a runner's own failure that is replaced by one of ours.
TEST_CASE_METHOD(forward_flow_fixture, "runner, fails an order, its answer is passed on", "[forwarding]")
{
    const auto start = one<start_forward>(ask("/order/"));
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

// Guards against weak answers of a small model, and against the cost of the large one where the small one is sure.
TEST_CASE_METHOD(forward_flow_fixture, "model, unsure answer, is asked again of the largest", "[forwarding]")
{
    const auto first = one<start_forward>(ask("/model/"));
    CHECK(first.model == "small");
    const action_list escalated = success(first.attempt, 20);
    CHECK(one<cancel_attempt>(escalated).attempt == first.attempt);
    const auto second = one<start_forward>(escalated);
    CHECK(second.model == "large");
    CHECK(all<start_forward>(success(second.attempt, 20)).empty());

    const auto sure = one<start_forward>(ask("/model/", "sure"));
    CHECK(all<start_forward>(success(sure.attempt, 80)).empty());
}

// Guards against escalation on a busy day: the large model's answer would be late, and so would the others'.
TEST_CASE_METHOD(forward_flow_fixture, "model, unsure answer but large model slow, is kept", "[forwarding]")
{
    m_backends.expectedDelay = std::chrono::milliseconds(600);
    const auto first = one<start_forward>(ask("/model/"));
    CHECK(all<start_forward>(success(first.attempt, 30)).empty());
    one<begin_stream>(event(first.attempt, 1));
    const auto hopeless = one<start_forward>(ask("/model/", "hopeless"));
    one<start_forward>(success(hopeless.attempt, 5));
}

// Guards against a second answer mixed into one that the caller already gets.
TEST_CASE_METHOD(forward_flow_fixture, "model, events already passed on, is not changed", "[forwarding]")
{
    const auto first = one<start_forward>(ask("/model/"));
    success(first.attempt, 90);
    event(first.attempt, 1);
    CHECK(all<start_forward>(success(first.attempt, 5)).empty());
}
