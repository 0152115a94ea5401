#include "plugins/forwarding/forward_queue.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace crocuslane;

namespace {

class forward_queue_fixture
{
protected:
    forward_queue_fixture()
    {
        push("late-urgent", "model", 0);
        push("first", "model", 2);
        push("second", "model", 2);
        push("desk", "desk", 1);
    }

    void push(const std::string &request, const std::string &service, unsigned priority)
    {
        m_queue.push({request_id(request), organisation_id(), priority, steady_time()}, service_id(service), {});
    }

    std::vector<std::string> dispatch(std::size_t room)
    {
        std::vector<std::string> started;
        m_queue.dispatch({}, [&](const request_id &request) {
            if (started.size() == room) {
                return false;
            }
            started.push_back(request.value());
            return true;
        });
        return started;
    }

    forward_queue m_queue;
};

} // namespace

// Guards against an urgent request that waits behind less urgent ones.
TEST_CASE_METHOD(forward_queue_fixture,
                 "queue, mixed priorities, is dispatched by priority and then by arrival",
                 "[forwarding]")
{
    CHECK(dispatch(10) == std::vector<std::string>{"desk", "late-urgent", "first", "second"});
    CHECK(m_queue.size() == 0);
}

// Guards against a service without free runners that blocks the requests of another service.
TEST_CASE_METHOD(forward_queue_fixture, "queue, one service without capacity, others are dispatched", "[forwarding]")
{
    std::vector<std::string> started;
    m_queue.dispatch({}, [&](const request_id &request) {
        const bool hasRoom = request == request_id("desk");
        if (hasRoom) {
            started.push_back(request.value());
        }
        return hasRoom;
    });
    CHECK(started == std::vector<std::string>{"desk"});
    CHECK(m_queue.size() == 3);
}

// Guards against a new request that overtakes those that wait.
TEST_CASE_METHOD(forward_queue_fixture, "queue, requests that go before a priority, are counted", "[forwarding]")
{
    CHECK(m_queue.countBefore(service_id("model"), 0) == 1);
    CHECK(m_queue.countBefore(service_id("model"), 2) == 3);
    CHECK(m_queue.countBefore(service_id("other"), 2) == 0);
    m_queue.remove(request_id("first"), {});
    CHECK(m_queue.countBefore(service_id("model"), 2) == 2);
    CHECK_FALSE(m_queue.contains(request_id("first")));
}
