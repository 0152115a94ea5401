#include "plugins/rollouts/rollout.h"

#include <catch2/catch.hpp>

#include <set>

using namespace crocuslane;

namespace {

class rollout_fixture
{
protected:
    rollout_fixture()
    {
        restart();
    }

    void restart()
    {
        m_rollout.emplace(rollout_order{service_id("model"), "v2", std::chrono::seconds(20), 7},
                          rollout_settings{},
                          m_random,
                          m_clock.steadyNow());
    }

    bool usesNewVersion(const std::string &session = {})
    {
        const version_rule rule = m_rollout->choose(session, 6, m_clock.steadyNow());
        const bool usesNew = rule.allows("v2");
        m_rollout->attemptStarted(usesNew ? "v2" : "v1", true);
        return usesNew;
    }

    int countNewVersion(int requests, const std::string &session = {})
    {
        int count = 0;
        for (int index = 0; index < requests; ++index) {
            count += usesNewVersion(session) ? 1 : 0;
        }
        return count;
    }

    void observe(const std::string &version, int count, bool hasFailed)
    {
        version_observation observation;
        observation.version = version;
        observation.hasFailed = hasFailed;
        observation.delay = std::chrono::milliseconds(50);
        for (int index = 0; index < count; ++index) {
            m_rollout->observe(observation);
        }
    }

    std::optional<rollout_phase> phaseToRecord(bool isOldVersionIdle = false)
    {
        return m_rollout->phaseToRecord(m_clock.steadyNow(), isOldVersionIdle);
    }

    void advance(std::chrono::milliseconds time)
    {
        m_clock.advance(time);
    }

    manual_clock m_clock;
    seeded_random m_random{3};
    std::optional<rollout> m_rollout;
};

} // namespace

// Guards against more canary requests than the limit of all VMs together: the counts of one VM are multiplied by six.
TEST_CASE_METHOD(rollout_fixture, "canary, many requests, stays below the exposure limit", "[rollouts]")
{
    const int exposed = countNewVersion(600);
    CHECK(exposed > 0);
    CHECK(6 * exposed <= 0.15 * 6 * 600 + 30);
    restart();
    CHECK(6 * countNewVersion(1) <= 30);
}

// Guards against a session that changes its version in the first half of the rollout.
TEST_CASE_METHOD(rollout_fixture, "canary, request of a session, stays on the old version", "[rollouts]")
{
    CHECK(countNewVersion(200, "session") == 0);
}

// Guards against a new version that gets all requests before half of the time limit has passed.
TEST_CASE_METHOD(rollout_fixture,
                 "cutover, half of the time passed, is recorded after that and not before",
                 "[rollouts]")
{
    advance(std::chrono::milliseconds(500));
    CHECK(phaseToRecord() == rollout_phase::canary);
    m_rollout->applyRecord(rollout_phase::canary, m_clock.steadyNow());
    advance(std::chrono::milliseconds(9500));
    observe("v2", 12, false);
    CHECK_FALSE(phaseToRecord());
    advance(std::chrono::milliseconds(1500));
    CHECK(phaseToRecord() == rollout_phase::cutover);
    m_rollout->applyRecord(rollout_phase::cutover, m_clock.steadyNow());
    advance(std::chrono::milliseconds(1500));
    CHECK(countNewVersion(10, "session") == 10);
}

// Guards against completing a rollout while requests still run on the old runners, and against one that never
// completes.
TEST_CASE_METHOD(rollout_fixture,
                 "completion, old runners busy, is delayed but not beyond the order's time limit",
                 "[rollouts]")
{
    advance(std::chrono::milliseconds(11'500));
    m_rollout->applyRecord(rollout_phase::cutover, m_clock.steadyNow());
    observe("v2", 12, false);
    CHECK_FALSE(phaseToRecord(true));
    advance(std::chrono::milliseconds(2500));
    CHECK(phaseToRecord(true) == rollout_phase::completed);
    CHECK_FALSE(phaseToRecord(false));
    advance(std::chrono::milliseconds(4500));
    CHECK(phaseToRecord(false) == rollout_phase::completed);
}

// Guards against new requests to a bad version between its detection by this VM and the record of the rollback.
TEST_CASE_METHOD(rollout_fixture,
                 "bad version, detected by this VM, gets no further requests and is rolled back",
                 "[rollouts]")
{
    observe("v1", 20, false);
    observe("v2", 4, true);
    CHECK(countNewVersion(200) == 0);
    CHECK(phaseToRecord() == rollout_phase::rolled_back);
    CHECK_FALSE(m_rollout->rule({}, m_clock.steadyNow()).allows("v2"));
}

// Guards against a rollback of a completed rollout, whose old runners are gone, and against a final phase that changes.
TEST_CASE_METHOD(rollout_fixture, "final phase, later records and failures, is not changed", "[rollouts]")
{
    m_rollout->applyRecord(rollout_phase::completed, m_clock.steadyNow());
    m_rollout->applyRecord(rollout_phase::rolled_back, m_clock.steadyNow());
    observe("v2", 20, true);
    CHECK(m_rollout->phase() == rollout_phase::completed);
    CHECK(m_rollout->rule({}, m_clock.steadyNow()).allows("v2"));
    CHECK_FALSE(phaseToRecord());
    restart();
    m_rollout->applyRecord(rollout_phase::rolled_back, m_clock.steadyNow());
    m_rollout->applyRecord(rollout_phase::cutover, m_clock.steadyNow());
    CHECK(m_rollout->phase() == rollout_phase::rolled_back);
}

// Guards against VMs that try to record the same phase repeatedly without a delay.
TEST_CASE_METHOD(rollout_fixture, "record refused, next attempt, is delayed", "[rollouts]")
{
    advance(std::chrono::milliseconds(500));
    REQUIRE(phaseToRecord());
    m_rollout->postpone(m_clock.steadyNow());
    CHECK_FALSE(phaseToRecord());
    advance(std::chrono::seconds(1));
    CHECK(phaseToRecord());
}

// Guards against a new version that gets all requests although nothing is known about it.
TEST_CASE_METHOD(rollout_fixture, "cutover, no answer of the new version, is not recorded", "[rollouts]")
{
    m_rollout->applyRecord(rollout_phase::canary, m_clock.steadyNow());
    countNewVersion(200, "session");
    observe("v1", 200, false);
    advance(std::chrono::milliseconds(13'500));
    CHECK_FALSE(phaseToRecord());
}

// Guards against a canary phase without any request of the new version where all requests belong to sessions.
TEST_CASE_METHOD(rollout_fixture,
                 "canary, sessions in the second half of the time, use the new version in part",
                 "[rollouts]")
{
    advance(std::chrono::milliseconds(10'500));
    int exposed = 0;
    for (int index = 0; index < 400; ++index) {
        exposed += usesNewVersion("session " + std::to_string(index)) ? 1 : 0;
    }
    CHECK(exposed >= 20);
    CHECK(exposed <= 80);
}

// Guards against a session that returns to the old version while the new one is good.
TEST_CASE_METHOD(rollout_fixture, "session, new version used once, stays on it", "[rollouts]")
{
    std::set<std::string> moved;
    for (int step = 0; step < 40; ++step) {
        advance(std::chrono::milliseconds(500));
        if (step == 23) {
            m_rollout->applyRecord(rollout_phase::cutover, m_clock.steadyNow());
        }
        for (int index = 0; index < 100; ++index) {
            const std::string session = "session " + std::to_string(index);
            const bool usesNew = usesNewVersion(session);
            CHECK((usesNew || !moved.contains(session)));
            if (usesNew) {
                moved.insert(session);
            }
        }
    }
    CHECK(moved.size() == 100);
}

// Guards against a canary allowance that is used up by requests which the new version never got.
TEST_CASE_METHOD(rollout_fixture, "canary, no runner of the new version at first, keeps its allowance", "[rollouts]")
{
    for (int index = 0; index < 50; ++index) {
        m_rollout->choose({}, 6, m_clock.steadyNow());
        m_rollout->attemptStarted("v1", true);
    }
    CHECK(usesNewVersion());
    CHECK(usesNewVersion());
}

// Guards against a version that turns bad under load and gets all requests at once.
TEST_CASE_METHOD(rollout_fixture, "cutover, just recorded, moves a part of the requests", "[rollouts]")
{
    advance(std::chrono::milliseconds(11'500));
    m_rollout->applyRecord(rollout_phase::cutover, m_clock.steadyNow());
    const int exposed = countNewVersion(400);
    CHECK(exposed > 60);
    CHECK(exposed < 140);
}

// Guards against a VM that starts after the cutover and sends sessions back to the old version.
TEST_CASE_METHOD(rollout_fixture, "cutover, recorded before this VM started, moves all requests", "[rollouts]")
{
    m_rollout->applyRecord(rollout_phase::cutover, m_clock.steadyNow());
    CHECK(countNewVersion(100) == 100);
}

// Guards against a good version that is not brought in.
TEST_CASE_METHOD(rollout_fixture, "cutover, enough good answers of the new version, is recorded", "[rollouts]")
{
    m_rollout->applyRecord(rollout_phase::canary, m_clock.steadyNow());
    countNewVersion(200, "session");
    observe("v1", 200, false);
    observe("v2", 12, false);
    advance(std::chrono::milliseconds(11'500));
    CHECK(phaseToRecord() == rollout_phase::cutover);
}

// Guards against an order that neither ends well nor badly because the new version gets no requests.
TEST_CASE_METHOD(rollout_fixture, "canary, no answer until late, is rolled back", "[rollouts]")
{
    m_rollout->applyRecord(rollout_phase::canary, m_clock.steadyNow());
    countNewVersion(200, "session");
    advance(std::chrono::milliseconds(15'500));
    CHECK_FALSE(phaseToRecord());
    advance(std::chrono::milliseconds(1000));
    CHECK(phaseToRecord() == rollout_phase::rolled_back);
}

// Guards against a version that is kept although nothing is known of it since all requests depend on it.
TEST_CASE_METHOD(rollout_fixture, "completion, no answer since the cutover, is rolled back", "[rollouts]")
{
    observe("v2", 12, false);
    advance(std::chrono::milliseconds(11'500));
    m_rollout->applyRecord(rollout_phase::cutover, m_clock.steadyNow());
    advance(std::chrono::milliseconds(3000));
    CHECK_FALSE(phaseToRecord(true));
    advance(std::chrono::milliseconds(4500));
    CHECK(phaseToRecord(true) == rollout_phase::rolled_back);
}

// Guards against an early end of the order by a VM that started after the cutover and has no request in progress.
TEST_CASE_METHOD(rollout_fixture, "completion, cutover read at the start, waits its time", "[rollouts]")
{
    m_rollout->applyRecord(rollout_phase::cutover, m_clock.steadyNow());
    observe("v2", 12, false);
    advance(std::chrono::milliseconds(1500));
    CHECK_FALSE(phaseToRecord(true));
}

// Guards against a version that turns bad at the cutover, hidden by its good answers before.
TEST_CASE_METHOD(rollout_fixture, "cutover, bad answers after many good ones, is rolled back", "[rollouts]")
{
    observe("v1", 300, false);
    observe("v2", 300, false);
    m_rollout->applyRecord(rollout_phase::cutover, m_clock.steadyNow());
    observe("v2", 10, true);
    CHECK(phaseToRecord() == rollout_phase::rolled_back);
}
