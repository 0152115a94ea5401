#include "plugins/forwarding/runner_crash_detector.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

constexpr runner_key runner = 5;

class crash_detector_fixture
{
protected:
    void start(attempt_number attempt)
    {
        m_detector.attemptStarted(attempt, runner, m_clock.steadyNow());
    }

    void lose(attempt_number attempt)
    {
        m_detector.attemptLost(runner, m_clock.steadyNow());
        m_detector.attemptEnded(attempt, runner);
    }

    std::size_t detectAfter(duration time)
    {
        m_clock.advance(time);
        return m_detector.detect(m_clock.steadyNow()).size();
    }

    manual_clock m_clock;
    runner_crash_detector m_detector;
};

} // namespace

// Guards against a crash that shows only when the runner's entry expires, three seconds later.
TEST_CASE_METHOD(crash_detector_fixture, "runner, all of three attempts lost, has crashed", "[forwarding]")
{
    for (attempt_number attempt = 1; attempt <= 3; ++attempt) {
        start(attempt);
    }
    m_clock.advance(1s);
    for (attempt_number attempt = 1; attempt <= 3; ++attempt) {
        lose(attempt);
    }
    CHECK(detectAfter(50ms) == 0);
    CHECK(detectAfter(100ms) == 1);
    CHECK(m_detector.hasCrashed(runner, m_clock.steadyNow() - 150ms));
    CHECK_FALSE(m_detector.hasCrashed(runner, m_clock.steadyNow() - 5s));
}

// Guards against lost answers that are taken for a crash while the runner goes on with other requests.
TEST_CASE_METHOD(crash_detector_fixture, "runner, one attempt goes on, has not crashed", "[forwarding]")
{
    for (attempt_number attempt = 1; attempt <= 4; ++attempt) {
        start(attempt);
    }
    m_clock.advance(1s);
    for (attempt_number attempt = 1; attempt <= 3; ++attempt) {
        lose(attempt);
    }
    CHECK(detectAfter(1s) == 0);
}

// Guards against a lost answer that is confirmed by an end of the runner much later.
TEST_CASE_METHOD(crash_detector_fixture, "runner, single loss, has crashed if soon not listed", "[forwarding]")
{
    const auto [delay, expected] = GENERATE(std::pair(3000ms, 1), std::pair(9000ms, 0));
    m_detector.setListed({runner}, m_clock.steadyNow());
    start(1);
    m_clock.advance(1s);
    lose(1);
    m_clock.advance(delay);
    m_detector.setListed({}, m_clock.steadyNow());
    CHECK(detectAfter(10ms) == static_cast<std::size_t>(expected));
}

// Guards against a crash that is known only where the runner had several requests.
TEST_CASE_METHOD(crash_detector_fixture,
                 "runner, lost at another VM and not reachable here, has crashed",
                 "[forwarding]")
{
    m_detector.attemptLostElsewhere(runner, m_clock.steadyNow());
    m_clock.advance(200ms);
    start(1);
    m_detector.attemptEnded(1, runner);
    CHECK(detectAfter(100ms) == 0);
    m_detector.connectionRefused(runner, m_clock.steadyNow());
    CHECK(detectAfter(10ms) == 1);
}

// Guards against losses at a runner that still answers.
TEST_CASE_METHOD(crash_detector_fixture, "runner, answers after a loss, has not crashed", "[forwarding]")
{
    start(1);
    lose(1);
    m_clock.advance(30ms);
    // Sent before the connections were closed.
    CHECK_FALSE(m_detector.noteSignOfLife(runner, m_clock.steadyNow()));
    m_clock.advance(100ms);
    CHECK(m_detector.noteSignOfLife(runner, m_clock.steadyNow()));
    m_detector.connectionRefused(runner, m_clock.steadyNow());
    CHECK(detectAfter(10ms) == 0);
}
