#include "plugins/backends/backend_table.h"

#include "support/action_queries.h"

#include <catch2/catch.hpp>

#include <algorithm>

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

    static backend_entry
    report(std::uint64_t sequence, backend_condition condition = backend_condition::ready, std::int64_t startedAt = 1)
    {
        backend_entry made = entry("a", condition);
        made.sequence = sequence;
        made.startedUnixMilliseconds = startedAt;
        return made;
    }

    /// Lists from the log that was restored @p epoch times.
    void listIn(log_epoch epoch, std::vector<backend_entry> entries)
    {
        m_table.applyList({std::move(entries), m_clock.steadyNow(), epoch}, m_clock.steadyNow(), m_log);
    }

    std::size_t staleLogEntries() const
    {
        const auto entries = all<log_decision>(m_log);
        return static_cast<std::size_t>(std::count_if(
            entries.begin(), entries.end(), [](const auto &each) { return each.event == "runner_entry_stale"; }));
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

// Guards against new requests to a runner whose leaving this VM has read, after the store came back from an older copy.
TEST_CASE_METHOD(backend_table_fixture,
                 "leaving runner, restored list has it ready, gets no requests until it reports again",
                 "[backends]")
{
    listIn(0, {report(5)});
    listIn(0, {report(7, backend_condition::leaving)});
    listIn(1, {report(5)});
    CHECK(usable() == 0);
    listIn(1, {report(6), entry("b")});
    CHECK(usable() == 1);
    CHECK(m_table.find(runner_id("a"))->entry.condition == backend_condition::leaving);
    CHECK(staleLogEntries() == 1);
    listIn(1, {report(8)});
    CHECK(usable() == 1);
}

// Guards against a second restore that undoes what was learned of the first one.
TEST_CASE_METHOD(backend_table_fixture,
                 "leaving runner, list restored twice, gets no requests and is logged for each epoch",
                 "[backends]")
{
    listIn(0, {report(7, backend_condition::leaving)});
    listIn(1, {report(5)});
    listIn(2, {report(4)});
    listIn(2, {report(5)});
    CHECK(usable() == 0);
    CHECK(staleLogEntries() == 2);
}

// Guards against a stale copy that is used because the platform states no sequence, and against a runner that is never
// used again.
TEST_CASE_METHOD(backend_table_fixture,
                 "leaving runner without sequence, restored list has it ready, is used once its entry changes",
                 "[backends]")
{
    listIn(0, {report(0, backend_condition::leaving)});
    listIn(1, {report(0)});
    listIn(1, {report(0), entry("b", backend_condition::leaving)});
    CHECK(usable() == 0);
    backend_entry changed = report(0);
    changed.slots = 9;
    listIn(1, {changed});
    CHECK(usable() == 1);
}

// Guards against ignoring what a runner reports in one epoch of the log, where a later entry is newer.
TEST_CASE_METHOD(backend_table_fixture,
                 "leaving or missing runner, listed as ready again in the same epoch, is used",
                 "[backends]")
{
    listIn(3, {report(7, backend_condition::leaving)});
    listIn(3, {report(7)});
    CHECK(usable() == 1);
    listIn(3, {});
    CHECK(usable() == 0);
    listIn(3, {report(7)});
    CHECK(usable() == 1);
}

// Guards against new requests to a runner whose entry this VM has seen removed, and against a copy that is newer than
// the last entry that this VM had read before the removal.
TEST_CASE_METHOD(backend_table_fixture,
                 "gone runner, restored list has it ready, gets no requests until it reports again",
                 "[backends]")
{
    listIn(0, {report(5)});
    listIn(0, {});
    listIn(1, {report(6)});
    CHECK(usable() == 0);
    listIn(1, {report(6), entry("b", backend_condition::leaving)});
    CHECK(usable() == 0);
    CHECK(staleLogEntries() == 1);
    listIn(1, {report(7)});
    CHECK(usable() == 1);
}

// Guards against a runner that is never used again although it lives: it reports after its entry was removed.
TEST_CASE_METHOD(backend_table_fixture,
                 "gone runner, reports later than the first restored list, is used",
                 "[backends]")
{
    listIn(0, {report(5)});
    listIn(0, {});
    listIn(1, {});
    listIn(1, {report(6)});
    CHECK(usable() == 1);
}

// Guards against a new process that is taken for the one that is gone.
TEST_CASE_METHOD(backend_table_fixture, "gone runner, started again, is used", "[backends]")
{
    listIn(0, {report(5)});
    listIn(0, {});
    listIn(1, {report(1, backend_condition::ready, 2)});
    CHECK(usable() == 1);
}

// Guards against a stale copy that brings a runner back through its leaving entry.
TEST_CASE_METHOD(backend_table_fixture, "gone runner, restored list has it leaving, gets no requests", "[backends]")
{
    listIn(0, {report(5)});
    listIn(0, {report(6, backend_condition::leaving)});
    listIn(0, {});
    listIn(1, {report(6, backend_condition::leaving)});
    listIn(2, {report(5)});
    CHECK(usable() == 0);
}

// Guards against a runner that is kept away for ever, and against memory that grows with the runners that have ended.
TEST_CASE_METHOD(backend_table_fixture, "gone runner, a minute after its removal, is used when listed", "[backends]")
{
    listIn(0, {report(0)});
    listIn(0, {});
    m_clock.advance(std::chrono::seconds(59));
    listIn(1, {report(0)});
    CHECK(usable() == 0);
    m_clock.advance(std::chrono::seconds(2));
    listIn(1, {report(0)});
    CHECK(usable() == 1);
}

// Guards against memory that grows with the runners that have ended.
TEST_CASE_METHOD(backend_table_fixture, "gone runners, very many, the oldest are forgotten", "[backends]")
{
    for (int index = 0; index < 5000; ++index) {
        listIn(0, {entry("runner " + std::to_string(index))});
    }
    listIn(0, {});
    listIn(1, {entry("runner 0"), entry("runner 4999")});
    CHECK(usable() == 1);
    CHECK(m_table.find(runner_id("runner 0")) != nullptr);
}

// Guards against a runner that stays in use because the older copy lists it again, after its entry was found missing
// while the list was disturbed.
TEST_CASE_METHOD(backend_table_fixture,
                 "missing runner, restored list has it, is removed in time unless it reports again",
                 "[backends]")
{
    const bool reportsAgain = GENERATE(false, true);
    listIn(0, {report(5)});
    list({}, std::chrono::milliseconds(2500));
    listIn(1, {report(5)});
    CHECK(usable() == 1);
    if (reportsAgain) {
        listIn(1, {report(6)});
    }
    m_clock.advance(std::chrono::milliseconds(2600));
    m_table.expire(m_clock.steadyNow(), m_log);
    CHECK(usable() == (reportsAgain ? 1 : 0));
}

// Guards against the removal of all runners that were missing when the store was restored, before they can report
// again.
TEST_CASE_METHOD(backend_table_fixture,
                 "missing runner, restored list has it, gets the grace time of the restored list",
                 "[backends]")
{
    listIn(0, {report(5)});
    list({}, std::chrono::milliseconds(2500));
    m_clock.advance(std::chrono::milliseconds(2000));
    m_table.applyList(
        {{report(5)}, m_clock.steadyNow() + std::chrono::milliseconds(2500), 1}, m_clock.steadyNow(), m_log);
    m_clock.advance(std::chrono::milliseconds(2400));
    m_table.expire(m_clock.steadyNow(), m_log);
    CHECK(usable() == 1);
    m_clock.advance(std::chrono::milliseconds(200));
    m_table.expire(m_clock.steadyNow(), m_log);
    CHECK(usable() == 0);
}

// Guards against the removal of a runner that the older copy lacks and that reports again, without a sequence.
TEST_CASE_METHOD(backend_table_fixture,
                 "missing runner, listed again in the epoch in which it was missing, is kept",
                 "[backends]")
{
    listIn(0, {report(0)});
    m_table.applyList({{}, m_clock.steadyNow() + std::chrono::milliseconds(2500), 1}, m_clock.steadyNow(), m_log);
    listIn(1, {report(0)});
    m_clock.advance(std::chrono::milliseconds(2600));
    m_table.expire(m_clock.steadyNow(), m_log);
    CHECK(usable() == 1);
    CHECK(staleLogEntries() == 0);
}

// Guards against requests to the process before a restart, which the older copy of the list names.
TEST_CASE_METHOD(backend_table_fixture,
                 "restarted runner, restored list has the earlier process, keeps the newer one",
                 "[backends]")
{
    backend_entry newer = report(2, backend_condition::ready, 20);
    newer.address = "10.0.0.2:80";
    listIn(0, {newer});
    listIn(1, {report(9, backend_condition::leaving, 10)});
    CHECK(usable() == 1);
    CHECK(m_table.find(runner_id("a"))->entry.address == "10.0.0.2:80");
    CHECK(staleLogEntries() == 1);
    listIn(1, {report(3, backend_condition::leaving, 20)});
    CHECK(usable() == 0);
}

// Guards against a process before the one that is gone.
TEST_CASE_METHOD(backend_table_fixture,
                 "gone runner, restored list has the process before it, gets no requests",
                 "[backends]")
{
    listIn(0, {report(2, backend_condition::ready, 20)});
    listIn(0, {});
    listIn(1, {report(9, backend_condition::ready, 10)});
    CHECK(usable() == 0);
}

// Guards against a new process that is ignored for ever because the clock of its machine was set back.
TEST_CASE_METHOD(backend_table_fixture,
                 "runner, starts anew with an earlier time, is used when it reports again",
                 "[backends]")
{
    listIn(0, {report(2, backend_condition::leaving, 20)});
    listIn(1, {report(1, backend_condition::ready, 10)});
    CHECK(usable() == 0);
    listIn(1, {report(2, backend_condition::ready, 10)});
    CHECK(usable() == 1);
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
