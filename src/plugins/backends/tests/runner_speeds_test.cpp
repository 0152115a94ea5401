#include "plugins/backends/runner_speeds.h"

#include "base/random_source.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

using namespace crocuslane;

namespace {

class runner_speeds_fixture
{
protected:
    /// Answers of each runner whose durations vary by a factor of up to 2 in both directions.
    void answer(const std::vector<double> &timeFactors, int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            m_clock.advance(std::chrono::milliseconds(500));
            for (std::size_t runner = 0; runner < timeFactors.size(); ++runner) {
                const double seconds = 0.1 * timeFactors[runner] * std::exp2(2.0 * m_random.unit() - 1.0);
                m_speeds.add("ratings", runner, fromSeconds(seconds), std::chrono::seconds(1), m_clock.steadyNow());
            }
        }
    }

    double factor(runner_key runner) const
    {
        return m_speeds.timeFactor(runner, m_clock.steadyNow());
    }

    manual_clock m_clock;
    seeded_random m_random{1};
    runner_speeds m_speeds;
};

} // namespace

// Guards against an uneven use of equal runners because of chance.
TEST_CASE_METHOD(runner_speeds_fixture, "equal runners, varying durations, count as equal", "[backends]")
{
    const std::vector<double> equal(90, 1.0);
    answer(equal, 5);
    int different = 0;
    for (int check = 0; check < 20; ++check) {
        answer(equal, 5);
        for (runner_key runner = 0; runner < equal.size(); ++runner) {
            CHECK(factor(runner) == Approx(1.0).margin(0.1));
            different += factor(runner) != 1.0 ? 1 : 0;
        }
    }
    CHECK(different < 20 * 90 / 50);
}

// Guards against a slow machine that gets as many requests as the others.
TEST_CASE_METHOD(runner_speeds_fixture, "slow machine, some answers, is told apart", "[backends]")
{
    answer({0.7, 0.7, 1.7, 0.7, 0.7, 1.7}, 2);
    CHECK(factor(2) / factor(0) < 1.7);
    answer({0.7, 0.7, 1.7, 0.7, 0.7, 1.7}, 100);
    CHECK(factor(2) / factor(0) > 1.8);
    CHECK(factor(2) / factor(0) < 2.6);
    CHECK(m_speeds.slowProcesses(m_clock.steadyNow()) == 2);
}

// Guards against a temporary slowdown that is noticed late, or that counts for long after its end.
TEST_CASE_METHOD(runner_speeds_fixture, "usual machine, slows down for a while, is avoided for a while", "[backends]")
{
    answer({1.0, 1.0, 1.0, 1.0, 1.0, 1.0}, 100);
    answer({1.0, 1.0, 3.0, 1.0, 1.0, 1.0}, 20);
    CHECK(factor(2) > 1.5);
    answer({1.0, 1.0, 1.0, 1.0, 1.0, 1.0}, 40);
    CHECK(factor(2) < 1.2);
}

// Guards against the speed of an earlier process: the new one may run on another machine.
TEST_CASE_METHOD(runner_speeds_fixture, "process, replaced, has the usual speed", "[backends]")
{
    answer({1.0, 1.0, 3.0}, 100);
    CHECK(factor(2) > 1.3);
    m_speeds.keepOnly([](runner_key process) { return process != 2; });
    CHECK(factor(2) == 1.0);
}
