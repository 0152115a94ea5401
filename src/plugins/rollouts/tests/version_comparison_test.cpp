#include "plugins/rollouts/version_comparison.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class version_comparison_fixture
{
protected:
    void add(bool isNew, int count, bool hasFailed, int delayMilliseconds, std::uint32_t promptTokens = 1000)
    {
        version_observation observation;
        observation.hasFailed = hasFailed;
        observation.delay = std::chrono::milliseconds(delayMilliseconds);
        observation.promptTokens = promptTokens;
        for (int index = 0; index < count; ++index) {
            m_comparison.add(observation, isNew);
        }
    }

    version_comparison m_comparison;
};

} // namespace

// Guards against a bad version that is not detected.
TEST_CASE_METHOD(version_comparison_fixture,
                 "comparison, new version fails a third of its requests, has regressed",
                 "[rollouts]")
{
    add(false, 50, false, 100);
    add(true, 6, false, 100);
    CHECK_FALSE(m_comparison.hasRegressed());
    add(true, 3, true, 100);
    CHECK(m_comparison.hasRegressed());
}

// Guards against the rollback of a good version because runners and connections of all versions fail.
TEST_CASE_METHOD(version_comparison_fixture,
                 "comparison, both versions fail equally often, has not regressed",
                 "[rollouts]")
{
    add(false, 40, false, 100);
    add(false, 10, true, 100);
    add(true, 8, false, 100);
    add(true, 3, true, 100);
    CHECK_FALSE(m_comparison.hasRegressed());
}

// Guards against a version that answers, but several times slower.
TEST_CASE_METHOD(version_comparison_fixture, "comparison, new version four times slower, has regressed", "[rollouts]")
{
    add(false, 20, false, 100);
    add(true, 5, false, 400);
    CHECK_FALSE(m_comparison.hasRegressed());
    add(true, 1, false, 400);
    CHECK(m_comparison.hasRegressed());
}

// Guards against the rollback of a version whose answers are slower only because it received longer prompts.
TEST_CASE_METHOD(version_comparison_fixture,
                 "comparison, new version has longer prompts, has not regressed",
                 "[rollouts]")
{
    add(false, 20, false, 65, 1000);
    add(true, 20, false, 290, 10'000);
    CHECK_FALSE(m_comparison.hasRegressed());
}

// Guards against a version of which a part of the answers is several times slower: its median is as before.
TEST_CASE_METHOD(version_comparison_fixture,
                 "comparison, two fifths of the answers eight times slower, has regressed",
                 "[rollouts]")
{
    add(false, 100, false, 100);
    for (int index = 0; index < 8; ++index) {
        add(true, 3, false, 100);
        add(true, 2, false, 800);
    }
    CHECK(m_comparison.hasRegressed());
}

// Guards against a bad version that passes because another fault makes the old version fail, too.
TEST_CASE_METHOD(version_comparison_fixture,
                 "comparison, old version fails two fifths and the new one nine tenths, has regressed",
                 "[rollouts]")
{
    add(false, 60, false, 100);
    add(false, 40, true, 100);
    add(true, 3, false, 100);
    add(true, 27, true, 100);
    CHECK(m_comparison.hasRegressed());
}

// Guards against a bad version that fails on one route only, whose share of all requests is small.
TEST_CASE_METHOD(version_comparison_fixture,
                 "comparison, new version fails on one route only, has regressed",
                 "[rollouts]")
{
    version_observation observation;
    observation.route = "large";
    for (int index = 0; index < 100; ++index) {
        m_comparison.add(observation, false);
        m_comparison.add(observation, true);
    }
    observation.route = "small";
    m_comparison.add(observation, false);
    CHECK_FALSE(m_comparison.hasRegressed());
    observation.hasFailed = true;
    for (int index = 0; index < 3; ++index) {
        m_comparison.add(observation, true);
    }
    CHECK(m_comparison.hasRegressed());
}

// Guards against slow answers that don't count because their callers left before them.
TEST_CASE_METHOD(version_comparison_fixture,
                 "comparison, callers leave slow answers of the new version, has regressed",
                 "[rollouts]")
{
    add(false, 50, false, 100);
    version_observation observation;
    observation.isUnanswered = true;
    observation.promptTokens = 1000;
    observation.delay = std::chrono::milliseconds(50);
    m_comparison.add(observation, true);
    CHECK(m_comparison.newAnswers() == 0);
    observation.delay = std::chrono::milliseconds(900);
    for (int index = 0; index < 6; ++index) {
        m_comparison.add(observation, true);
    }
    CHECK(m_comparison.hasRegressed());
}

// Guards against a stream that breaks off after its first event and counts as two answers.
TEST_CASE_METHOD(version_comparison_fixture, "comparison, answer fails after it began, counts once", "[rollouts]")
{
    version_observation observation;
    m_comparison.add(observation, true);
    observation.hasFailed = true;
    observation.wasCounted = true;
    m_comparison.add(observation, true);
    CHECK(m_comparison.newAnswers() == 1);
}

// Guards against slow answers that no VM detects, because none knows by itself how long answers usually take.
TEST_CASE_METHOD(version_comparison_fixture,
                 "comparison, few answers at each VM and two fifths of them five times slower, has regressed",
                 "[rollouts]")
{
    constexpr int vmCount = 5;
    for (int vm = 0; vm < vmCount; ++vm) {
        version_comparison other;
        version_observation observation;
        for (int index = 0; index < 6; ++index) {
            observation.delay = std::chrono::milliseconds(60 + 15 * index);
            other.add(observation, false);
            observation.delay = std::chrono::milliseconds(index < 2 ? 500 : 100);
            other.add(observation, true);
        }
        CHECK_FALSE(other.hasRegressed());
        version_evidence evidence;
        evidence.vm = vm_id("vm-" + std::to_string(vm));
        evidence.routes = other.ownCounts();
        m_comparison.setEvidence(evidence);
    }
    CHECK(m_comparison.hasRegressed());
}

// Guards against a version that is slow on top of old versions whose answers are slow already, as under overload.
TEST_CASE_METHOD(version_comparison_fixture,
                 "comparison, old answers take a second and new ones eight times that, has regressed",
                 "[rollouts]")
{
    add(false, 20, false, 1200, 0);
    add(true, 12, false, 9600, 0);
    CHECK(m_comparison.hasRegressed());
}
