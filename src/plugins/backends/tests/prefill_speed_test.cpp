#include "plugins/backends/prefill_speed.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class prefill_speed_fixture
{
protected:
    void measure(std::uint64_t tokens, std::chrono::milliseconds delay, int times)
    {
        for (int index = 0; index < times; ++index) {
            m_speed.addMeasurement("m", tokens, delay);
        }
    }

    double unloadedSeconds(std::uint64_t tokens) const
    {
        return toSeconds(m_speed.unloadedTimeFor("m", tokens));
    }

    prefill_speed m_speed;
};

} // namespace

// Guards against an estimate for an idle runner that includes the wait of a busy one.
TEST_CASE_METHOD(prefill_speed_fixture,
                 "unloaded time, waits in most measurements, stays near the fastest",
                 "[backends]")
{
    for (int round = 0; round < 100; ++round) {
        measure(6000, std::chrono::milliseconds(200), 1);
        measure(6000, std::chrono::milliseconds(900), 2);
    }
    CHECK(unloadedSeconds(6000) < 0.35);
    CHECK(toSeconds(m_speed.timeFor("m", 6000)) > unloadedSeconds(6000));
    CHECK(toSeconds(m_speed.queueingDelay()) > 0.2);
}

// Guards against an estimate in proportion to the tokens: attention takes longer for each token of a long prompt.
TEST_CASE_METHOD(prefill_speed_fixture, "unloaded time, long prompt, is more than in proportion", "[backends]")
{
    measure(6000, std::chrono::milliseconds(200), 100);
    CHECK(unloadedSeconds(54'000) > 1.4 * 9.0 * unloadedSeconds(6000));
}

// Guards against a wait that is remembered after the runners have become idle.
TEST_CASE_METHOD(prefill_speed_fixture, "queueing delay, runners idle again, falls", "[backends]")
{
    measure(2000, std::chrono::milliseconds(800), 30);
    CHECK(toSeconds(m_speed.queueingDelay()) > 0.4);
    measure(2000, std::chrono::milliseconds(20), 60);
    CHECK(toSeconds(m_speed.queueingDelay()) < 0.1);
}
