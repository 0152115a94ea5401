#include "net/work_share.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

using milliseconds = std::chrono::milliseconds;

class work_share_fixture
{
protected:
    void use(milliseconds time)
    {
        m_share.use(m_now, m_now + time);
        m_now += time;
    }

    work_share m_share;
    steady_time m_now{std::chrono::hours(1)};
};

} // namespace

// Guards against a sound stream that is delayed because its events have taken much time together over its whole length.
TEST_CASE_METHOD(work_share_fixture, "work share, little work at a time, never waits", "[net]")
{
    for (int event = 0; event < 1000; ++event) {
        use(milliseconds(1));
        m_now += milliseconds(10);
        CHECK(m_share.waitTime(m_now) == duration::zero());
    }
}

// Guards against a stream of small events without end that takes all time of the event loop.
TEST_CASE_METHOD(work_share_fixture, "work share, work without pause, gets a fifth of the time", "[net]")
{
    const steady_time start = m_now;
    duration used{};
    while (m_now - start < std::chrono::seconds(10)) {
        use(milliseconds(9));
        used += milliseconds(9);
        CHECK(m_share.waitTime(m_now) > duration::zero());
        m_now += m_share.waitTime(m_now);
        CHECK(m_share.waitTime(m_now) == duration::zero());
    }
    CHECK(toSeconds(used) == Approx(2.0).epsilon(0.05));
}

// Guards against many paused transfers that each use a whole burst when they go on, and together all of the time.
TEST_CASE_METHOD(work_share_fixture, "work share, resumed after a long pause, waits after little work", "[net]")
{
    use(milliseconds(9));
    m_now += std::chrono::seconds(1);
    m_share.resume(m_now);
    CHECK(m_share.waitTime(m_now) == duration::zero());
    use(milliseconds(1));
    CHECK(m_share.waitTime(m_now) > duration::zero());
}
