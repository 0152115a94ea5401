#include "plugins/requests/dispatch_queue.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

// Guards against a round whose cost grows with the waiting requests of a lane that has no free runner.
TEST_CASE("dispatch queue, lane without runner, is asked once per round", "[requests]")
{
    dispatch_queue queue(10);
    queue.push(request_id("a1"), "a", {});
    queue.push(request_id("a2"), "a", {});
    queue.push(request_id("b1"), "b", {});
    std::vector<std::string> asked;
    queue.dispatch([&asked](const request_id &request) {
        asked.push_back(request.value());
        return request == request_id("b1") ? dispatch_result::taken : dispatch_result::waiting;
    });
    CHECK(asked == std::vector<std::string>{"a1", "b1"});
    CHECK(queue.size() == 2);
}

// Guards against a full queue that refuses a request within its bound and keeps the excess of another group.
TEST_CASE("dispatch queue, full, gives up the worst request", "[requests]")
{
    dispatch_queue queue(2);
    queue.push(request_id("excess"), "a", {admission_tier::excess, request_class::interactive, false, 0.0});
    queue.push(request_id("batch"), "a", {admission_tier::within_bound, request_class::batch, false, 0.0});
    const queue_position urgent{admission_tier::within_bound, request_class::interactive, false, 0.0};
    CHECK(queue.push(request_id("x"), "b", urgent) == request_id("excess"));
    CHECK(queue.push(request_id("y"), "b", urgent) == request_id("batch"));
    CHECK(queue.push(request_id("z"), "b", urgent) == request_id("z"));
}

// Guards against a request that is queued anew while it starts, for another version, and then lost.
TEST_CASE("dispatch queue, request pushed again while taken, stays queued in its new lane", "[requests]")
{
    dispatch_queue queue(10);
    queue.push(request_id("a"), "first", {});
    unsigned asked = 0;
    queue.dispatch([&](const request_id &request) {
        ++asked;
        if (asked == 1) {
            queue.push(request, "second", {});
            return dispatch_result::taken;
        }
        return dispatch_result::waiting;
    });
    CHECK(asked == 2);
    CHECK(queue.contains(request_id("a")));
}
