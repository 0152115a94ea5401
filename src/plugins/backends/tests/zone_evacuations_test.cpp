#include "plugins/backends/zone_evacuations.h"
#include "support/action_queries.h"

using namespace crocuslane;

namespace {

class zone_evacuations_fixture
{
protected:
    /// The events of the log lines.
    std::vector<std::string> read(const std::set<std::string> &zones, log_epoch epoch = 0)
    {
        action_list log;
        m_evacuations.apply({zones, epoch}, m_now, log);
        return eventsOf(log);
    }

    std::vector<std::string> wait(duration time)
    {
        m_now += time;
        action_list log;
        m_evacuations.expire(m_now, log);
        return eventsOf(log);
    }

    static std::vector<std::string> eventsOf(const action_list &log)
    {
        std::vector<std::string> events;
        for (const log_decision &each : all<log_decision>(log)) {
            events.push_back(std::string(each.event) + " " + each.fields.at(0).second);
        }
        return events;
    }

    zone_evacuations m_evacuations;
    steady_time m_now{std::chrono::hours(1)};
};

using lines = std::vector<std::string>;

} // namespace

// Guards against a second zone that replaces the first one, and against lines that repeat with each read.
TEST_CASE_METHOD(zone_evacuations_fixture, "zones, two ordered and one withdrawn, are told apart", "[backends]")
{
    CHECK(read({"a"}) == lines{"zone_evacuated a"});
    const steady_time first = m_now;
    wait(std::chrono::seconds(1));
    CHECK(read({"a", "b"}) == lines{"zone_evacuated b"});
    CHECK(read({"a", "b"}).empty());
    CHECK(m_evacuations.names() == "a,b");
    CHECK(m_evacuations.evacuatedSince("a") == first);
    CHECK(read({"b"}) == lines{"zone_returned a"});
    CHECK_FALSE(m_evacuations.isEvacuated("a"));
    CHECK(m_evacuations.isEvacuated("b"));
    CHECK(m_evacuations.returnedAt("a") == m_now);
    CHECK_FALSE(m_evacuations.returnedAt("b"));
    CHECK_FALSE(m_evacuations.returnedAt("c"));
    read({"a", "b"});
    CHECK_FALSE(m_evacuations.returnedAt("a"));
}

// Guards against an order that a restored log lacks and that ends before the operator can write it again.
TEST_CASE_METHOD(zone_evacuations_fixture, "order, missing after a restore, is kept for 10 s", "[backends]")
{
    read({"a", "b"}, 1);
    CHECK(read({"b"}, 2).empty());
    wait(std::chrono::seconds(5));
    CHECK(read({"b"}, 2).empty());
    CHECK(m_evacuations.nextExpiry() == m_now + std::chrono::seconds(5));
    CHECK(wait(std::chrono::milliseconds(4990)).empty());
    CHECK(wait(std::chrono::milliseconds(10)) == lines{"zone_returned a"});
    CHECK(m_evacuations.isEvacuated("b"));
    CHECK(m_evacuations.nextExpiry() == steady_time::max());
}

// Guards against an order that can't be withdrawn, or ends, because it was missing once after a restore.
TEST_CASE_METHOD(zone_evacuations_fixture, "order, written again after a restore, ends when withdrawn", "[backends]")
{
    read({"a"}, 1);
    read({}, 2);
    CHECK(read({"a"}, 2).empty());
    CHECK(wait(std::chrono::seconds(20)).empty());
    CHECK(read({}, 2) == lines{"zone_returned a"});
}
