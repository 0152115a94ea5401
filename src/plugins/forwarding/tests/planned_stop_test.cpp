#include "plugins/forwarding/planned_stop.h"
#include "plugins/forwarding/route_durations.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

constexpr std::chrono::seconds acceptTime{3};

class planned_stop_fixture
{
protected:
    planned_stop m_stop;
    steady_time m_start{std::chrono::hours(1)};
};

} // namespace

// Guards against requests that are taken so late in a short grace that they are cut.
TEST_CASE_METHOD(planned_stop_fixture,
                 "planned stop, grace short or long, takes requests in its first half only",
                 "[forwarding]")
{
    CHECK(m_stop.acceptsRequests(m_start));
    m_stop.begin(m_start, std::chrono::seconds(2), acceptTime);
    CHECK(m_stop.acceptsRequests(m_start + std::chrono::milliseconds(900)));
    CHECK_FALSE(m_stop.acceptsRequests(m_start + std::chrono::milliseconds(1000)));
    m_stop.begin(m_start, std::chrono::seconds(60), acceptTime);
    CHECK(m_stop.acceptsRequests(m_start + std::chrono::milliseconds(2900)));
    CHECK_FALSE(m_stop.acceptsRequests(m_start + acceptTime));
}

// Guards against a grace of no time, and against requests that are limited where the process has no such limit.
TEST_CASE_METHOD(planned_stop_fixture, "planned stop, no time left or no limit, ends at once or never", "[forwarding]")
{
    m_stop.begin(m_start, std::chrono::milliseconds(-300), acceptTime);
    CHECK_FALSE(m_stop.acceptsRequests(m_start));
    CHECK(m_stop.isOver(m_start));
    planned_stop unlimited;
    unlimited.begin(m_start, std::nullopt, acceptTime);
    CHECK(unlimited.acceptsRequests(m_start));
    CHECK_FALSE(unlimited.isOver(m_start + std::chrono::hours(1)));
    CHECK(unlimited.leavesTimeFor(std::chrono::hours(1), m_start));
}

// Guards against a route whose requests count as short after one short request.
TEST_CASE("route durations, several answers, gives the longest of the latest", "[forwarding]")
{
    route_durations durations;
    CHECK(durations.longest("order") == duration::zero());
    durations.record("order", std::chrono::seconds(4));
    durations.record("order", std::chrono::seconds(1));
    CHECK(durations.longest("order") == std::chrono::seconds(4));
    CHECK(durations.longest("look") == duration::zero());
    for (int number = 0; number < 64; ++number) {
        durations.record("order", std::chrono::seconds(2));
    }
    CHECK(durations.longest("order") == std::chrono::seconds(2));
}
