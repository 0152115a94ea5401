#include "base/random_source.h"
#include "kernel/kernel.h"
#include "plugins/backends/backend_settings.h"
#include "plugins/forwarding/forwarding_settings.h"
#include "services/rollout_policy.h"
#include "support/action_queries.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

/// What leaves only the runners of zone-c, in the region south, to requests.
enum class restriction {
    evacuation,
    home_regions,
};

class silent_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

class fixed_policy : public rollout_policy
{
public:
    version_rule choose(const service_id & /*service*/, const std::string & /*session*/) override
    {
        return current;
    }

    version_rule rule(const service_id & /*service*/, const std::string & /*session*/) const override
    {
        return current;
    }

    void attemptStarted(const service_id & /*service*/, const std::string & /*version*/, bool /*isFirst*/) override
    {
    }

    void observe(const version_observation & /*observation*/) override
    {
    }

    version_rule current;
};

/// One VM in zone-a with the decision code of all plug-ins that select runners. A runner takes two requests at a time.
class placement_fixture
{
protected:
    explicit placement_fixture(const forwarding_settings &settings = {10.0, 10.0})
        : m_settings(settings)
        , m_kernel({m_clock, m_random, m_node, {}, m_timeline})
    {
        m_backendSettings.regions = {{"zone-a", "north"}, {"zone-b", "north"}, {"zone-c", "south"}};
        m_kernel.services().offer(m_backendSettings);
        m_kernel.services().offer(m_settings);
        m_kernel.services().offer<rollout_policy>(m_policy);
        m_kernel.addRegistered({"forwarding"});
        m_kernel.start();
        m_clock.advance(std::chrono::hours(1));
        configure({});
        list({"a1", "b1", "c1"});
    }

    action_list configure(const std::set<std::string> &homeRegions)
    {
        auto content = std::make_shared<forward_configuration>();
        content->version = ++m_version;
        for (const auto &[prefix, kind] : std::map<std::string, route_kind>{
                 {"/look/", route_kind::idempotent}, {"/stream/", route_kind::resumable_stream}}) {
            forward_route route;
            route.name = prefix;
            route.host = "models.example";
            route.pathPrefix = prefix;
            route.kind = kind;
            route.timeout = std::chrono::seconds(30);
            route.objective = std::chrono::seconds(10);
            route.maximumAttempts = 5;
            route.models = {model_id("small"), model_id("large")};
            route.services = {{service_id("service"), 1.0}};
            route.homeRegions = homeRegions;
            content->routes.push_back(route);
        }
        return m_kernel.handle(forward_configuration_read{content});
    }

    /// The first letter of a runner's name is its zone; its version is v2 if the name ends with 2.
    action_list list(const std::vector<std::string> &runners)
    {
        backend_list_read read;
        for (const std::string &name : runners) {
            backend_entry entry;
            entry.id = runner_id(name);
            entry.service = service_id("service");
            entry.address = name + ":80";
            entry.availabilityZone = "zone-" + name.substr(0, 1);
            entry.version = name.back() == '2' ? "v2" : "v1";
            entry.slots = 1;
            read.entries.push_back(entry);
        }
        return m_kernel.handle(read);
    }

    action_list evacuate(const std::set<std::string> &zones, log_epoch epoch = 0)
    {
        return m_kernel.handle(zone_evacuations_read{zones, epoch});
    }

    action_list apply(restriction kind)
    {
        return kind == restriction::evacuation ? evacuate({"zone-a", "zone-b"}) : configure({"south"});
    }

    static refusal_reason reasonFor(restriction kind)
    {
        return kind == restriction::evacuation ? refusal_reason::runners_evacuated : refusal_reason::no_runner_at_home;
    }

    action_list send(const std::string &path = "/look/")
    {
        forward_request request;
        request.request = request_id("r" + std::to_string(++m_requests));
        request.host = "models.example";
        request.path = path;
        request.promptTokens = 100;
        request.expectedTokens = 1000;
        return m_kernel.handle(forward_received{request});
    }

    attempt_number startAt(const std::string &runner, const std::string &path = "/look/")
    {
        const auto started = one<start_forward>(send(path));
        CHECK(started.runner.value() == runner);
        return started.attempt;
    }

    action_list succeed(attempt_number attempt, std::optional<unsigned> confidence = {})
    {
        forward_answer_head head;
        head.status = 200;
        head.isGenuine = true;
        head.isEventStream = true;
        head.confidence = confidence;
        return m_kernel.handle(forward_head_received{attempt, head, nullptr});
    }

    action_list fail(attempt_number attempt, attempt_failure failure = attempt_failure::connection_lost)
    {
        return m_kernel.handle(forward_failed{attempt, failure});
    }

    action_list complete(attempt_number attempt)
    {
        succeed(attempt);
        return m_kernel.handle(forward_completed{attempt, nullptr});
    }

    action_list wait(duration time)
    {
        m_clock.advance(std::chrono::duration_cast<std::chrono::milliseconds>(time));
        return m_kernel.handle(timer_expired{});
    }

    static std::string runnerOf(const action_list &actions)
    {
        return one<start_forward>(actions).runner.value();
    }

    static refusal_reason refusalOf(const action_list &actions)
    {
        CHECK(all<start_forward>(actions).empty());
        return one<refuse_forward>(actions).reason;
    }

    manual_clock m_clock;
    seeded_random m_random{3};
    node_identity m_node{vm_id("v1"), 1, "zone-a", "north", "10.0.0.1:1", "10.0.0.1:2"};
    silent_timeline m_timeline;
    backend_settings m_backendSettings;
    forwarding_settings m_settings;
    fixed_policy m_policy;
    kernel m_kernel;
    std::uint64_t m_version = 0;
    int m_requests = 0;
};

class spent_budget_fixture : public placement_fixture
{
protected:
    spent_budget_fixture()
        : placement_fixture({0.0, 0.0})
    {
    }
};

} // namespace

// Guards against each path that selects a runner and misses the filter. Without a restriction, the runner of the VM's
// own zone is selected.
TEST_CASE_METHOD(placement_fixture,
                 "request, runners restricted, every attempt is at a permitted runner",
                 "[forwarding]")
{
    const auto kind = GENERATE(restriction::evacuation, restriction::home_regions);
    SECTION("first attempt")
    {
        apply(kind);
        startAt("c1");
    }
    SECTION("retry")
    {
        const attempt_number first = startAt("a1");
        apply(kind);
        const action_list retried = fail(first);
        CHECK(runnerOf(retried) == "c1");
        // All permitted runners were tried; the others still don't count.
        CHECK(runnerOf(fail(one<start_forward>(retried).attempt)) == "c1");
    }
    SECTION("refused without a connection")
    {
        const attempt_number first = startAt("a1");
        apply(kind);
        CHECK(runnerOf(fail(first, attempt_failure::not_sent)) == "c1");
    }
    SECTION("escalation")
    {
        const attempt_number first = startAt("a1");
        apply(kind);
        const auto escalated = one<start_forward>(succeed(first, 1));
        CHECK(escalated.model == "large");
        CHECK(escalated.runner.value() == "c1");
    }
    SECTION("resumed stream")
    {
        const attempt_number first = startAt("a1", "/stream/");
        succeed(first);
        m_kernel.handle(forward_event_received{first, 1, true, "data"});
        apply(kind);
        const auto resumed = one<start_forward>(fail(first));
        CHECK(resumed.resumeAfter == 1);
        CHECK(resumed.runner.value() == "c1");
    }
    SECTION("move from a silent runner")
    {
        startAt("a1", "/stream/");
        apply(kind);
        CHECK(runnerOf(wait(std::chrono::seconds(9))) == "c1");
    }
}

// Guards against a queued request that is started at the first runner with capacity, in an evacuated zone or abroad.
TEST_CASE_METHOD(placement_fixture, "queued request, runners restricted, waits for a permitted one", "[forwarding]")
{
    const auto kind = GENERATE(restriction::evacuation, restriction::home_regions);
    list({"a1", "c1"});
    const attempt_number nearby = startAt("a1");
    startAt("a1");
    const attempt_number permitted = startAt("c1");
    startAt("c1");
    CHECK(all<start_forward>(send()).empty());
    CHECK(all<refuse_forward>(apply(kind)).empty());
    CHECK(all<start_forward>(complete(nearby)).empty());
    CHECK(runnerOf(complete(permitted)) == "c1");
}

// Guards against a wait until the deadline for runners that the request may not use, of new and of queued requests, and
// for a stream that then ends without an error.
TEST_CASE_METHOD(placement_fixture, "request, no runner is permitted, is refused at once", "[forwarding]")
{
    const auto kind = GENERATE(restriction::evacuation, restriction::home_regions);
    list({"a1"});
    startAt("a1");
    SECTION("queued when the restriction comes")
    {
        startAt("a1");
        CHECK(all<start_forward>(send()).empty());
        const action_list refused = apply(kind);
        CHECK(refusalOf(refused) == reasonFor(kind));
        CHECK(one<refuse_forward>(refused).retryAfter > duration::zero());
    }
    SECTION("queued when the last permitted runner is removed")
    {
        list({"a1", "c1"});
        apply(kind);
        startAt("c1");
        startAt("c1");
        CHECK(all<start_forward>(send()).empty());
        CHECK(refusalOf(list({"a1"})) == reasonFor(kind));
    }
    SECTION("new")
    {
        apply(kind);
        CHECK(refusalOf(send()) == reasonFor(kind));
    }
    SECTION("retry of a refused attempt")
    {
        const attempt_number attempt = startAt("a1");
        apply(kind);
        CHECK(refusalOf(fail(attempt, attempt_failure::not_sent)) == reasonFor(kind));
    }
    SECTION("stream that has begun")
    {
        const attempt_number attempt = startAt("a1", "/stream/");
        succeed(attempt);
        m_kernel.handle(forward_event_received{attempt, 1, true, "data"});
        apply(kind);
        const action_list ended = fail(attempt);
        CHECK(all<start_forward>(ended).empty());
        CHECK(all<abort_stream>(ended).size() == 1);
    }
}

// Guards against an order that ends the requests in progress in the zone.
TEST_CASE_METHOD(placement_fixture, "request in progress, its zone is evacuated, finishes there", "[forwarding]")
{
    const attempt_number attempt = startAt("a1");
    CHECK(all<cancel_attempt>(evacuate({"zone-a"})).empty());
    CHECK(all<deliver_answer>(complete(attempt)).size() == 1);
    CHECK(runnerOf(send()) == "b1");
    evacuate({});
    startAt("a1");
}

// Guards against a request that waits for a version whose runners are all in the evacuated zone, and against a trial
// that has a cost there.
TEST_CASE_METHOD(placement_fixture, "request during a rollout, its version only in evacuated zones", "[forwarding]")
{
    list({"a2", "c1"});
    m_policy.current = {version_rule::mode::only, "v2", false};
    CHECK(all<start_forward>(send()).size() == 1);
    evacuate({"zone-a"});
    CHECK(refusalOf(send()) == refusal_reason::runners_evacuated);
    m_policy.current.isTrial = true;
    startAt("c1");
    m_policy.current = {version_rule::mode::except, "v2", false};
    startAt("c1");
}

// Guards against an order that the restored log lacks until the operator writes it again.
TEST_CASE_METHOD(placement_fixture, "evacuation, missing from a restored log, stays in force for 10 s", "[forwarding]")
{
    evacuate({"zone-a"}, 4);
    evacuate({}, 5);
    complete(startAt("b1"));
    wait(std::chrono::milliseconds(9900));
    complete(startAt("b1"));
    wait(std::chrono::milliseconds(200));
    startAt("a1");
}

// Guards against a wait, or a start in the evacuated zone, of a request that the budget leaves no retry.
TEST_CASE_METHOD(spent_budget_fixture, "retry, budget spent during an evacuation, is refused", "[forwarding]")
{
    list({"a1"});
    const attempt_number first = startAt("a1");
    const attempt_number second = startAt("a1", "/stream/");
    list({"a1", "b1"});
    evacuate({"zone-a"});
    CHECK(refusalOf(fail(first)) == refusal_reason::attempts_exhausted_may_have_run);
    CHECK(all<start_forward>(wait(std::chrono::seconds(9))).empty());
    CHECK(runnerOf(fail(second, attempt_failure::not_sent)) == "b1");
}
