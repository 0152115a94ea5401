#include "plugins/requests/dispatch_queue.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

// Guards against a dispatch round whose cost grows with the number of requests in a queue without a free runner.
TEST_CASE("dispatch queue, queue without a free runner, is tried once per round", "[requests]")
{
    dispatch_queue queue(10);
    queue.push(request_id("a1"), "a", {});
    queue.push(request_id("a2"), "a", {});
    queue.push(request_id("b1"), "b", {});
    std::vector<std::string> attempted;
    queue.dispatch([&attempted](const request_id &request) {
        attempted.push_back(request.value());
        return request == request_id("b1") ? dispatch_result::taken : dispatch_result::waiting;
    });
    CHECK(attempted == std::vector<std::string>{"a1", "b1"});
    CHECK(queue.size() == 2);
}

// Guards against a full queue that refuses a request within the bound of its group and keeps another group's excess.
TEST_CASE("dispatch queue, full, displaces the last request by tier and class", "[requests]")
{
    dispatch_queue queue(2);
    queue.push(request_id("excess"), "a", {admission_tier::excess, request_class::interactive, false, 0.0});
    queue.push(request_id("batch"), "a", {admission_tier::within_bound, request_class::batch, false, 0.0});
    const queue_position urgent{admission_tier::within_bound, request_class::interactive, false, 0.0};
    CHECK(queue.push(request_id("x"), "b", urgent) == request_id("excess"));
    CHECK(queue.push(request_id("y"), "b", urgent) == request_id("batch"));
    CHECK(queue.push(request_id("z"), "b", urgent) == request_id("z"));
}

// Guards against losing a request that is queued again, for another version, while the queue tries to start it.
TEST_CASE("dispatch queue, request pushed again while it is tried, stays queued in its new queue", "[requests]")
{
    dispatch_queue queue(10);
    queue.push(request_id("a"), "first", {});
    unsigned attempted = 0;
    queue.dispatch([&](const request_id &request) {
        ++attempted;
        if (attempted == 1) {
            queue.push(request, "second", {});
            return dispatch_result::taken;
        }
        return dispatch_result::waiting;
    });
    CHECK(attempted == 2);
    CHECK(queue.contains(request_id("a")));
}
