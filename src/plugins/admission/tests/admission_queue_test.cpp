#include "plugins/admission/admission_queue.h"
#include "plugins/admission/start_forecast.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

const organisation_id usual("usual");
const organisation_id busy("busy");

/// One VM whose runners are full: a start each @c interval, and requests as the test's load sends them.
class full_service
{
protected:
    void send(const organisation_id &organisation, unsigned priority, duration objective = 8s)
    {
        const request_id request(std::to_string(++m_last));
        m_sent[request] = {organisation, priority, m_now + objective, m_now};
        m_queue.push({request, organisation, priority, m_now + objective});
    }

    /// Starts the next request, if one waits.
    void start()
    {
        const std::optional<request_id> next = m_queue.next(m_now);
        if (!next) {
            return;
        }
        const sent_request &sent = m_sent.at(*next);
        m_queue.noteStart(sent.organisation, sent.priority, m_now);
        m_queue.remove(*next);
        ++m_startsBy[sent.organisation];
        ++m_startsOf[sent.priority];
        m_longestWait[sent.organisation] = std::max(m_longestWait[sent.organisation], m_now - sent.at);
        m_order.push_back(next->value());
    }

    void clearCounts()
    {
        m_startsBy.clear();
        m_startsOf.clear();
        m_longestWait.clear();
    }

    struct sent_request {
        organisation_id organisation;
        unsigned priority = 0;
        steady_time objective;
        steady_time at;
    };

    steady_time m_now{1h};
    admission_queue m_queue;
    std::map<request_id, sent_request> m_sent;
    std::map<organisation_id, unsigned> m_startsBy;
    std::map<unsigned, unsigned> m_startsOf;
    std::map<organisation_id, duration> m_longestWait;
    std::vector<std::string> m_order;
    unsigned m_last = 0;
};

} // namespace

// Guards against an organisation whose queue delays the others: it sends eight times its usual load, and the others
// send what they always do.
TEST_CASE_METHOD(full_service, "queue, one organisation at eight times its load, others don't wait", "[admission]")
{
    constexpr unsigned usualOrganisations = 4;
    const auto tick = [&](unsigned busyRequests) {
        for (unsigned each = 0; each < usualOrganisations; ++each) {
            send(organisation_id("usual-" + std::to_string(each)), 1);
        }
        for (unsigned each = 0; each < busyRequests; ++each) {
            send(busy, 1);
        }
        constexpr unsigned capacity = 6;
        for (unsigned each = 0; each < capacity; ++each) {
            m_now += 100ms / capacity;
            start();
        }
    };
    for (unsigned step = 0; step < 600; ++step) {
        tick(1);
    }
    clearCounts();
    for (unsigned step = 0; step < 100; ++step) {
        tick(8);
    }
    for (unsigned each = 0; each < usualOrganisations; ++each) {
        const organisation_id organisation("usual-" + std::to_string(each));
        CHECK(m_startsBy[organisation] >= 99);
        CHECK(m_longestWait[organisation] <= 200ms);
    }
    // The capacity that the others leave is lent.
    CHECK(m_startsBy[busy] >= 190);
}

// Guards against equal shares that take from a large organisation what it usually uses when a small one sends more.
TEST_CASE_METHOD(full_service, "queue, small organisation in a burst, large one keeps its usual starts", "[admission]")
{
    const organisation_id large("large");
    for (unsigned step = 0; step < 600; ++step) {
        m_now += 100ms;
        for (unsigned each = 0; each < 3; ++each) {
            m_queue.noteStart(large, 1, m_now);
        }
        m_queue.noteStart(busy, 1, m_now);
    }
    for (unsigned step = 0; step < 100; ++step) {
        for (unsigned each = 0; each < 8; ++each) {
            send(busy, 1);
        }
        for (unsigned each = 0; each < 3; ++each) {
            send(large, 1);
        }
        for (unsigned each = 0; each < 4; ++each) {
            m_now += 25ms;
            start();
        }
    }
    CHECK(m_startsBy[large] >= 295);
    CHECK(m_longestWait[large] <= 300ms);
}

// Guards against callers that gain starts by returning at once whenever they are refused.
TEST_CASE_METHOD(full_service, "queue, callers that retry immediately, get no more than their share", "[admission]")
{
    for (unsigned step = 0; step < 400; ++step) {
        send(usual, 1);
        for (unsigned retry = 0; retry < 20; ++retry) {
            send(busy, 1);
        }
        start();
        start();
        m_now += 50ms;
        std::vector<request_id> refused;
        for (const auto &[request, sent] : m_sent) {
            if (sent.organisation == busy && m_queue.contains(request)) {
                refused.push_back(request);
            }
        }
        for (const request_id &request : refused) {
            m_queue.remove(request);
            m_sent.erase(request);
        }
    }
    CHECK(m_startsBy[usual] >= 399);
}

// Guards against a lowest priority that never starts while more urgent requests fill all runners, and against one that
// takes more than a small part from them.
TEST_CASE_METHOD(full_service, "queue, lowest priority under full load, gets a small share", "[admission]")
{
    for (unsigned step = 0; step < 1000; ++step) {
        send(usual, 0);
        send(usual, 1);
        send(usual, 2);
        m_now += 10ms;
        start();
    }
    CHECK(m_startsOf[1] >= 40);
    CHECK(m_startsOf[2] >= 40);
    CHECK(m_startsOf[0] >= 850);
}

// Guards against a burst of one class that holds up a more urgent one.
TEST_CASE_METHOD(full_service, "queue, burst of a lower class, does not delay urgent requests", "[admission]")
{
    for (unsigned each = 0; each < 500; ++each) {
        send(busy, 2);
    }
    for (unsigned step = 0; step < 100; ++step) {
        send(usual, 0);
        m_now += 10ms;
        start();
        start();
    }
    CHECK(m_startsOf[0] == 100);
    CHECK(m_longestWait[usual] <= 20ms);
}

// Guards against a late answer of each request where one late answer suffices.
TEST_CASE_METHOD(full_service, "queue, request that has lost its objective, goes behind others", "[admission]")
{
    send(usual, 1, 100ms);
    send(usual, 1, 1s);
    send(usual, 1, 2s);
    m_now += 500ms;
    start();
    start();
    start();
    CHECK(m_order == std::vector<std::string>{"2", "3", "1"});
}

// Guards against a prediction that counts the whole queue of another organisation.
TEST_CASE_METHOD(full_service, "queue, long queue of another organisation, is not all counted", "[admission]")
{
    for (unsigned each = 0; each < 100; ++each) {
        send(busy, 1);
    }
    CHECK(m_queue.countBefore(usual, 1) <= 2);
    CHECK(m_queue.countBefore(busy, 1) == 100);
    CHECK(m_queue.countBefore(usual, 0) == 0);
    CHECK(m_queue.countBefore(usual, 2) == 100);
}

// Guards against refusals without evidence: after a start of the VM, and when a queue has just begun.
TEST_CASE("start forecast, few starts, predicts nothing", "[admission]")
{
    steady_time now{1h};
    start_forecast forecast;
    CHECK_FALSE(forecast.delay(1000, now));
    forecast.setContended(true, now);
    for (unsigned each = 0; each < 7; ++each) {
        now += 100ms;
        forecast.noteStart(now);
    }
    CHECK_FALSE(forecast.delay(1000, now));
    forecast.noteStart(now);
    CHECK(forecast.delay(1000, now));
    forecast.setContended(false, now);
    forecast.setContended(true, now);
    CHECK_FALSE(forecast.delay(1000, now + 1s));
}

// Guards against a prediction from a rate that is long past.
TEST_CASE("start forecast, all runners full, predicts from the recent rate", "[admission]")
{
    steady_time now{1h};
    start_forecast forecast;
    forecast.setContended(true, now);
    for (unsigned each = 0; each < 200; ++each) {
        now += 100ms;
        forecast.noteStart(now);
    }
    REQUIRE(forecast.delay(19, now));
    CHECK(toSeconds(*forecast.delay(19, now)) == Approx(2.0).margin(0.1));
    CHECK_FALSE(forecast.delay(19, now + 6s));
}
