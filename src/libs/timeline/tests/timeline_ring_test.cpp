#include "timeline/timeline_ring.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace crocuslane;

namespace {

class timeline_fixture
{
protected:
    manual_clock m_clock;
    hybrid_clock m_hybridClock{m_clock};
    timeline_ring m_ring{m_hybridClock, vm_id("vm-1"), 4};
};

} // namespace

// Guards against memory use that grows with every request.
TEST_CASE_METHOD(timeline_fixture, "timeline, more events than its capacity, keeps the newest", "[timeline]")
{
    for (int index = 0; index < 10; ++index) {
        m_ring.record(timeline_kind::request_received, request_id(std::to_string(index)), std::string(1000, 'x'));
    }
    const std::vector<timeline_event> events = m_ring.events({}, 0);
    REQUIRE(events.size() == 4);
    CHECK(events.front().request == request_id("6"));
    CHECK(events.back().request == request_id("9"));
    CHECK(events.back().detail.size() == timeline_ring::maximumDetailBytes);
    CHECK(m_ring.overwritten() == 6);
}

// Guards against a query that returns events of other requests or times, or omits matching events.
TEST_CASE_METHOD(timeline_fixture,
                 "timeline, query by request and time, returns the matching events in order",
                 "[timeline]")
{
    m_ring.record(timeline_kind::request_received, request_id("a"), "");
    m_clock.advance(std::chrono::seconds(1));
    m_ring.record(timeline_kind::request_received, request_id("b"), "");
    m_ring.record(timeline_kind::answer_finished, request_id("a"), "tokens=3");
    CHECK(m_ring.events(request_id("a"), 0).size() == 2);
    const std::int64_t since = unixMilliseconds(m_clock.systemNow());
    const std::vector<timeline_event> late = m_ring.events({}, since);
    REQUIRE(late.size() == 2);
    CHECK(late[0].time < late[1].time);
    CHECK(m_ring.events(request_id("a"), since).size() == 1);
}

// Guards against an operator query that fails on a request id with invalid UTF-8, and against renamed JSON fields.
TEST_CASE_METHOD(timeline_fixture, "timeline, as JSON, has the documented fields", "[timeline]")
{
    m_ring.record(timeline_kind::request_refused, request_id("bad\xff"), "reason=limit");
    const nlohmann::json events = nlohmann::json::parse(m_ring.eventsJson({}, 0))["events"];
    REQUIRE(events.size() == 1);
    CHECK(events[0]["vm"] == "vm-1");
    CHECK(events[0]["kind"] == "request_refused");
    CHECK(events[0]["detail"] == "reason=limit");
    CHECK(events[0]["time_ms"] == unixMilliseconds(m_clock.systemNow()));
    CHECK(events[0].contains("logical"));
    CHECK(events[0].contains("request"));
}
