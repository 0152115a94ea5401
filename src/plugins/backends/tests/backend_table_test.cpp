#include "plugins/backends/backend_table.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class backend_table_fixture
{
protected:
    static backend_entry entry(const std::string &id, backend_condition condition = backend_condition::ready)
    {
        backend_entry made;
        made.id = runner_id(id);
        made.service = service_id("desk");
        made.address = "10.0.0.1:80";
        made.slots = 4;
        made.condition = condition;
        made.startedUnixMilliseconds = 1;
        return made;
    }

    /// @p grace is how long entries may still be missing after a disturbance of the list.
    void list(std::vector<backend_entry> entries, duration grace = {})
    {
        m_table.applyList({std::move(entries), m_clock.steadyNow() + grace}, m_clock.steadyNow(), m_log);
    }

    std::size_t usable()
    {
        return m_table.ofService(service_id("desk")).size();
    }

    manual_clock m_clock;
    backend_table m_table;
    action_list m_log;
};

} // namespace

// Guards against new requests at a runner that leaves or has left.
TEST_CASE_METHOD(backend_table_fixture, "runner, leaving or off the list, is not offered", "[backends]")
{
    list({entry("a"), entry("b"), entry("c")});
    CHECK(usable() == 3);
    list({entry("a"), entry("b", backend_condition::leaving)});
    CHECK(usable() == 1);
    CHECK(m_table.size() == 2);
}

// Guards against the loss of all runners when their entries lapse during an outage of the store.
TEST_CASE_METHOD(backend_table_fixture,
                 "runner, entry lapses while the list is disturbed, is kept for a while",
                 "[backends]")
{
    list({entry("a"), entry("b")});
    list({entry("a")}, std::chrono::milliseconds(2500));
    CHECK(usable() == 2);
    m_clock.advance(std::chrono::milliseconds(2400));
    m_table.expire(m_clock.steadyNow(), m_log);
    CHECK(usable() == 2);
    m_clock.advance(std::chrono::milliseconds(200));
    CHECK(m_table.nextExpiry() <= m_clock.steadyNow());
    m_table.expire(m_clock.steadyNow(), m_log);
    CHECK(usable() == 1);
}

// Guards against requests at a runner that left without notice while this VM alone had lost the store for a while: the
// time to come back counts from the store's return, not from the moment at which the entry is missed.
TEST_CASE_METHOD(backend_table_fixture,
                 "runner, entry goes after the time to come back, is dropped at once",
                 "[backends]")
{
    list({entry("a"), entry("b")}, std::chrono::milliseconds(2400));
    m_clock.advance(std::chrono::milliseconds(2500));
    m_table.applyList({{entry("a")}, m_clock.steadyNow() - std::chrono::milliseconds(100)}, m_clock.steadyNow(), m_log);
    CHECK(usable() == 1);
}

// Guards against the drop of a runner whose entry came back in time.
TEST_CASE_METHOD(backend_table_fixture, "runner, lapsed entry returns, is kept for good", "[backends]")
{
    list({entry("a")});
    list({}, std::chrono::milliseconds(2500));
    list({entry("a")}, std::chrono::milliseconds(2500));
    m_clock.advance(std::chrono::seconds(10));
    m_table.expire(m_clock.steadyNow(), m_log);
    CHECK(usable() == 1);
}

// Guards against a leaving mark that is forgotten because the store is disturbed.
TEST_CASE_METHOD(backend_table_fixture, "runner, was leaving and lapses, is dropped at once", "[backends]")
{
    list({entry("a", backend_condition::leaving)});
    list({}, std::chrono::milliseconds(2500));
    CHECK(m_table.size() == 0);
}

// Guards against trust in what a runner knew before its restart under the same id.
TEST_CASE_METHOD(backend_table_fixture, "runner, restarts under its id, keeps nothing of before", "[backends]")
{
    list({entry("a")});
    backend_record &record = *m_table.find(runner_id("a"));
    record.prompts.note({{1, 100}}, 1000, m_clock.steadyNow());
    record.load = reported_load{4, 9, 4, 2.0};
    record.loadAt = m_clock.steadyNow();
    CHECK(record.estimatedRunning(m_clock.steadyNow()) == 13);
    backend_entry restarted = entry("a");
    restarted.startedUnixMilliseconds = 2;
    list({restarted});
    CHECK(record.prompts.cachedTokens({{1, 100}}, m_clock.steadyNow()) == 0);
    CHECK(record.estimatedRunning(m_clock.steadyNow()) == 0);
}

// Guards against load that is counted twice or forgotten: own requests, other VMs' requests, the runner's statement.
TEST_CASE_METHOD(backend_table_fixture, "load, stated and counted, the larger one holds while fresh", "[backends]")
{
    list({entry("a")});
    backend_record &record = *m_table.find(runner_id("a"));
    attempt_load load;
    load.runner = runner_id("a");
    m_table.attemptStarted(1, load);
    record.remote[vm_id("v2")] = 2;
    CHECK(record.estimatedRunning(m_clock.steadyNow()) == 3);
    record.load = reported_load{7, 1, 8, 1.0};
    record.loadAt = m_clock.steadyNow();
    record.runningAtLoad = 1;
    CHECK(record.estimatedRunning(m_clock.steadyNow()) == 8);
    m_table.attemptEnded(1);
    CHECK(record.estimatedRunning(m_clock.steadyNow()) == 7);
    m_clock.advance(std::chrono::seconds(2));
    CHECK(record.estimatedRunning(m_clock.steadyNow()) == 2);
}

// Guards against a runner that is avoided for ever, or not at all, after failures.
TEST_CASE("failures, in a row, avoid the runner for longer each time but not for good", "[backends]")
{
    manual_clock clock;
    failure_record record;
    record.note(attempt_end::failed, clock.steadyNow());
    CHECK(record.avoidedUntil() <= clock.steadyNow());
    record.note(attempt_end::lost, clock.steadyNow());
    const duration second = record.avoidedUntil() - clock.steadyNow();
    CHECK(second > duration::zero());
    record.note(attempt_end::lost, clock.steadyNow());
    CHECK(record.avoidedUntil() - clock.steadyNow() > second);
    for (int round = 0; round < 20; ++round) {
        record.note(attempt_end::lost, clock.steadyNow());
    }
    CHECK(record.avoidedUntil() - clock.steadyNow() <= std::chrono::seconds(3));
    CHECK(record.share(clock.steadyNow()) > 0.9);
    clock.advance(std::chrono::seconds(30));
    CHECK(record.share(clock.steadyNow()) < 0.1);
}
