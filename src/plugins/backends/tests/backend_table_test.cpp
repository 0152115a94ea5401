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

    /// @p grace is the time for which missing entries are still kept after a disturbance of the list.
    void list(std::vector<backend_entry> entries, duration grace = {})
    {
        m_table.applyList({std::move(entries), m_clock.steadyNow() + grace}, m_clock.steadyNow(), m_log);
    }

    std::size_t usable()
    {
        return m_table.findReady(service_id("desk")).size();
    }

    manual_clock m_clock;
    backend_table m_table;
    action_list m_log;
};

} // namespace

// Guards against new requests to a runner that is leaving or no longer listed.
TEST_CASE_METHOD(backend_table_fixture, "runner, leaving or off the list, is not offered", "[backends]")
{
    list({entry("a"), entry("b"), entry("c")});
    CHECK(usable() == 3);
    list({entry("a"), entry("b", backend_condition::leaving)});
    CHECK(usable() == 1);
    CHECK(m_table.size() == 2);
}

// Guards against the loss of all runners when their entries expire during an outage of the store.
TEST_CASE_METHOD(backend_table_fixture,
                 "runner, entry expires while the list is disturbed, is kept for the grace time",
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

// Guards against requests to a runner that disappeared without notice while only this VM had lost its connection to the
// store: the grace time counts from the reconnection, not from the moment at which the entry is found missing.
TEST_CASE_METHOD(backend_table_fixture, "runner, entry missing after the grace time, is removed at once", "[backends]")
{
    list({entry("a"), entry("b")}, std::chrono::milliseconds(2400));
    m_clock.advance(std::chrono::milliseconds(2500));
    m_table.applyList({{entry("a")}, m_clock.steadyNow() - std::chrono::milliseconds(100)}, m_clock.steadyNow(), m_log);
    CHECK(usable() == 1);
}

// Guards against removing a runner whose entry is listed again within the grace time.
TEST_CASE_METHOD(backend_table_fixture, "runner, expired entry is listed again, is kept", "[backends]")
{
    list({entry("a")});
    list({}, std::chrono::milliseconds(2500));
    list({entry("a")}, std::chrono::milliseconds(2500));
    m_clock.advance(std::chrono::seconds(10));
    m_table.expire(m_clock.steadyNow(), m_log);
    CHECK(usable() == 1);
}

// Guards against keeping a leaving runner because the list is disturbed.
TEST_CASE_METHOD(backend_table_fixture, "runner, was leaving and entry expires, is removed at once", "[backends]")
{
    list({entry("a", backend_condition::leaving)});
    list({}, std::chrono::milliseconds(2500));
    CHECK(m_table.size() == 0);
}

// Guards against using the cached prompts and the load of a runner from before its restart under the same id.
TEST_CASE_METHOD(backend_table_fixture,
                 "runner, restarts under its id, cached prompts and load are reset",
                 "[backends]")
{
    list({entry("a")});
    backend_record &record = *m_table.find(runner_id("a"));
    record.prompts.add({{1, 100}}, 1000, m_clock.steadyNow());
    record.load = reported_load{4, 9, 4, 2.0};
    record.loadReceivedAt = m_clock.steadyNow();
    CHECK(record.estimatedRunning(m_clock.steadyNow()) == 13);
    backend_entry restarted = entry("a");
    restarted.startedUnixMilliseconds = 2;
    list({restarted});
    CHECK(record.prompts.cachedTokens({{1, 100}}, m_clock.steadyNow()) == 0);
    CHECK(record.estimatedRunning(m_clock.steadyNow()) == 0);
}

// Guards against load that is counted twice or left out: requests of this VM, those of other VMs, and the runner's
// load report.
TEST_CASE_METHOD(backend_table_fixture,
                 "load, reported and counted, the larger one is used while the report is recent",
                 "[backends]")
{
    list({entry("a")});
    backend_record &record = *m_table.find(runner_id("a"));
    attempt_load load;
    load.runner = runner_id("a");
    m_table.attemptStarted(1, load);
    record.remoteRunningByVm[vm_id("v2")] = 2;
    CHECK(record.estimatedRunning(m_clock.steadyNow()) == 3);
    record.load = reported_load{7, 1, 8, 1.0};
    record.loadReceivedAt = m_clock.steadyNow();
    record.localRunningAtLoad = 1;
    CHECK(record.estimatedRunning(m_clock.steadyNow()) == 8);
    m_table.attemptEnded(1);
    CHECK(record.estimatedRunning(m_clock.steadyNow()) == 7);
    m_clock.advance(std::chrono::seconds(2));
    CHECK(record.estimatedRunning(m_clock.steadyNow()) == 2);
}

// Guards against a runner that is avoided forever, or not at all, after failures.
TEST_CASE("failures, consecutive, avoid the runner for longer each time up to a maximum", "[backends]")
{
    manual_clock clock;
    failure_record record;
    record.addResult(attempt_end::failed, clock.steadyNow());
    CHECK(record.avoidedUntil() <= clock.steadyNow());
    record.addResult(attempt_end::lost, clock.steadyNow());
    const duration second = record.avoidedUntil() - clock.steadyNow();
    CHECK(second > duration::zero());
    record.addResult(attempt_end::lost, clock.steadyNow());
    CHECK(record.avoidedUntil() - clock.steadyNow() > second);
    for (int round = 0; round < 20; ++round) {
        record.addResult(attempt_end::lost, clock.steadyNow());
    }
    CHECK(record.avoidedUntil() - clock.steadyNow() <= std::chrono::seconds(3));
    CHECK(record.failureRate(clock.steadyNow()) > 0.9);
    clock.advance(std::chrono::seconds(30));
    CHECK(record.failureRate(clock.steadyNow()) < 0.1);
}
