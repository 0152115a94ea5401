#include "base/random_source.h"
#include "plugins/forwarding/forward_flow.h"
#include "support/action_queries.h"

#include <catch2/catch.hpp>

namespace crocuslane {

/// Definition for the tests: forward_flow only passes pointers to answers on to actions.
class runner_answer
{
};

} // namespace crocuslane

using namespace crocuslane;

namespace {

class single_route : public route_source
{
public:
    std::variant<route_match, refusal_reason>
    match(const std::string & /*host*/, const std::string & /*path*/, const std::string & /*key*/) const override
    {
        route_match found;
        found.configuration = content;
        found.route = &content->routes.front();
        return found;
    }

    std::shared_ptr<const forward_configuration> configuration() const override
    {
        return content;
    }

    std::shared_ptr<forward_configuration> content = std::make_shared<forward_configuration>();
};

/// Idle runners of one version.
class idle_runners : public backend_picker
{
public:
    bool isListRead() const override
    {
        return true;
    }

    std::optional<backend_choice> pick(const backend_requirements &requirements) override
    {
        if (!requirements.versions.allows(version)) {
            return std::nullopt;
        }
        return backend_choice{runner_id("a"), "a:80", version, std::chrono::milliseconds(10)};
    }

    std::optional<duration> limitDelay(const backend_requirements & /*requirements*/, std::size_t /*before*/) override
    {
        return duration::zero();
    }

    bool hasRunner(const backend_requirements &requirements) const override
    {
        return requirements.versions.allows(version);
    }

    void attemptStarted(attempt_number /*attempt*/,
                        const backend_requirements & /*requirements*/,
                        const runner_id & /*runner*/) override
    {
    }

    void answerBegan(attempt_number /*attempt*/) override
    {
    }

    prefill_estimate estimatePrefill(const std::string & /*model*/, std::uint32_t /*promptTokens*/) const override
    {
        return {};
    }

    void attemptEnded(attempt_number /*attempt*/, attempt_end /*end*/) override
    {
    }

    void noteLoad(const runner_id & /*runner*/, const reported_load & /*load*/) override
    {
    }

    std::string version = "v1";
};

/// Sends one session to the version on trial and all other requests to the old one, and records what it is told.
class recording_policy : public rollout_policy
{
public:
    version_rule choose(const service_id &service, const std::string &session) override
    {
        return rule(service, session);
    }

    version_rule rule(const service_id & /*service*/, const std::string &session) const override
    {
        const bool isMoved = session == "moved";
        return {isMoved ? version_rule::mode::only : version_rule::mode::except, "v2", isMoved};
    }

    void attemptStarted(const service_id & /*service*/, const std::string &version, bool isFirst) override
    {
        startedVersions.push_back(version);
        firstAttempts += isFirst ? 1 : 0;
    }

    void observe(const version_observation &observation) override
    {
        observations.push_back(observation);
    }

    std::vector<std::string> startedVersions;
    int firstAttempts = 0;
    std::vector<version_observation> observations;
};

class version_trial_fixture
{
protected:
    version_trial_fixture()
    {
        forward_route route;
        route.name = "route";
        route.pathPrefix = "/";
        route.kind = route_kind::resumable_stream;
        route.timeout = std::chrono::seconds(10);
        route.objective = std::chrono::seconds(4);
        route.maximumAttempts = 3;
        route.services = {{service_id("service"), 1.0}};
        m_routes.content->routes.push_back(route);
        m_environment.time = &m_clock;
        m_environment.random = &m_random;
        m_environment.routes = &m_routes;
        m_environment.backends = &m_runners;
        m_environment.rollouts = &m_policy;
        m_settings.retryShare = 10.0;
        m_flow.emplace(m_environment, m_settings);
    }

    std::vector<start_forward> receive(const std::string &id, const std::string &session = {})
    {
        forward_request request;
        request.request = request_id(id);
        request.session = session;
        action_list actions;
        m_flow->receive(request, actions);
        return all<start_forward>(actions);
    }

    void receiveEvent(attempt_number attempt, std::uint64_t number)
    {
        action_list actions;
        forward_event_received received;
        received.attempt = attempt;
        received.number = number;
        received.hasData = true;
        m_flow->receiveEvent(received, actions);
    }

    manual_clock m_clock;
    seeded_random m_random{5};
    single_route m_routes;
    idle_runners m_runners;
    recording_policy m_policy;
    forward_environment m_environment;
    forwarding_settings m_settings;
    std::optional<forward_flow> m_flow;
    action_list m_actions;
};

} // namespace

// Guards against requests that wait behind one whose version on trial has no runner, while the old runners are idle.
TEST_CASE_METHOD(version_trial_fixture,
                 "request of a trial, no runner of the new version, uses the old one",
                 "[forwarding]")
{
    CHECK(receive("first", "moved").size() == 1);
    CHECK(receive("second", "other").size() == 1);
    CHECK(m_policy.startedVersions == std::vector<std::string>{"v1", "v1"});
}

// Guards against a slow answer that is known only when it has ended, and against one answer that counts as two.
TEST_CASE_METHOD(version_trial_fixture, "stream, first event and later loss, are observed once each", "[forwarding]")
{
    const attempt_number attempt = receive("first").front().attempt;
    m_clock.advance(std::chrono::milliseconds(300));
    receiveEvent(attempt, 1);
    REQUIRE(m_policy.observations.size() == 1);
    CHECK(m_policy.observations[0].delay == std::chrono::milliseconds(300));
    CHECK(m_policy.observations[0].route == "route");
    CHECK_FALSE(m_policy.observations[0].hasFailed);
    receiveEvent(attempt, 2);
    CHECK(m_policy.observations.size() == 1);
    forward_failed failed;
    failed.attempt = attempt;
    failed.failure = attempt_failure::connection_lost;
    m_flow->fail(failed, m_actions);
    REQUIRE(m_policy.observations.size() == 2);
    CHECK(m_policy.observations[1].hasFailed);
    CHECK(m_policy.observations[1].wasCounted);
    CHECK(m_policy.firstAttempts == 1);
    CHECK(m_policy.startedVersions.size() == 2);
}

// Guards against slow answers that are not counted because their callers leave first.
TEST_CASE_METHOD(version_trial_fixture,
                 "request, abandoned before its answer, is observed as unanswered",
                 "[forwarding]")
{
    receive("first");
    m_clock.advance(std::chrono::milliseconds(900));
    m_flow->abandon(request_id("first"), m_actions);
    REQUIRE(m_policy.observations.size() == 1);
    CHECK(m_policy.observations[0].isUnanswered);
    CHECK(m_policy.observations[0].delay == std::chrono::milliseconds(900));
}
