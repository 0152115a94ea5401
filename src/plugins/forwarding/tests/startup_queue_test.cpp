#include "plugins/forwarding/startup_queue.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class startup_queue_fixture
{
protected:
    static forward_request request(const std::string &id, std::chrono::milliseconds callerTimeout)
    {
        forward_request created;
        created.request = request_id(id);
        created.callerTimeout = callerTimeout;
        return created;
    }

    startup_queue m_queue;
    steady_time m_now{std::chrono::seconds(100)};
};

} // namespace

// Guards against a caller with little time that waits too long to be served at another VM.
TEST_CASE_METHOD(startup_queue_fixture, "wait, caller with a short timeout, ends first", "[forwarding]")
{
    m_queue.push(request("patient", std::chrono::seconds(20)), m_now);
    m_queue.push(request("hurried", std::chrono::seconds(2)), m_now);
    CHECK(m_queue.nextDeadline() == m_now + std::chrono::milliseconds(250));
    const auto expired = m_queue.takeExpired(m_now + std::chrono::milliseconds(250));
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().request.request == request_id("hurried"));
    CHECK(m_queue.nextDeadline() == m_now + std::chrono::seconds(1));
}

// Guards against a VM that runs out of memory while all callers come to it before it has a configuration.
TEST_CASE_METHOD(startup_queue_fixture, "queue, full, takes no further request", "[forwarding]")
{
    std::size_t taken = 0;
    while (taken < 100000 && m_queue.push(request(std::to_string(taken), std::chrono::seconds(20)), m_now)) {
        ++taken;
    }
    CHECK(taken == 256);
    CHECK(m_queue.size() == taken);
}

// Guards against a later request that overtakes an earlier one when the configuration is read.
TEST_CASE_METHOD(startup_queue_fixture, "queue, taken as a whole, keeps the order of arrival", "[forwarding]")
{
    m_queue.push(request("first", std::chrono::seconds(20)), m_now);
    m_queue.push(request("second", std::chrono::seconds(2)), m_now);
    const auto all = m_queue.takeAll();
    REQUIRE(all.size() == 2);
    CHECK(all.front().request.request == request_id("first"));
    CHECK(all.back().request.request == request_id("second"));
    CHECK(m_queue.size() == 0);
}
