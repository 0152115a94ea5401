#include "plugins/backends/leaving_runners.h"

#include "plugins/backends/backend_table.h"
#include "support/action_queries.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace crocuslane;

namespace {

class leaving_runners_fixture
{
protected:
    static backend_entry entry(std::int64_t startedAt = 1, std::uint64_t sequence = 1)
    {
        backend_entry made;
        made.id = runner_id("a");
        made.service = service_id("desk");
        made.address = "10.0.0.1:80";
        made.slots = 4;
        made.startedUnixMilliseconds = startedAt;
        made.sequence = sequence;
        return made;
    }

    /// @p grace is the time for which missing entries are still kept after a disturbance of the list.
    void list(std::vector<backend_entry> entries, duration grace = {})
    {
        m_table.applyList({std::move(entries), m_clock.steadyNow() + grace}, m_clock.steadyNow(), m_log);
    }

    void start(attempt_number attempt)
    {
        attempt_load load;
        load.runner = runner_id("a");
        load.process = m_table.find(load.runner)->process();
        m_table.attemptStarted(attempt, load);
    }

    /// An attempt at the runner gets an answer that says @p stated.
    bool state(const stated_leaving &stated)
    {
        start(1);
        const bool isNew = m_table.noteLeaving(1, stated, m_clock.steadyNow(), m_log);
        m_table.attemptEnded(1);
        return isNew;
    }

    bool isOffered()
    {
        return !m_table.findReady(service_id("desk")).empty();
    }

    std::size_t logLines(std::string_view event) const
    {
        const auto lines = all<log_decision>(m_log);
        return static_cast<std::size_t>(
            std::count_if(lines.begin(), lines.end(), [event](const auto &each) { return each.event == event; }));
    }

    const stated_leaving m_leaves{true, {}};
    manual_clock m_clock;
    backend_table m_table;
    action_list m_log;
};

} // namespace

// Guards against requests to a runner that has said in an answer that it leaves while the store can't say so: its entry
// stays in the list, is read again, or disappears while missing entries are kept.
TEST_CASE_METHOD(leaving_runners_fixture,
                 "runner, states that it leaves, is not offered whatever the list says",
                 "[backends]")
{
    list({entry()});
    CHECK(isOffered());
    CHECK(state(m_leaves));
    CHECK_FALSE(isOffered());
    CHECK_FALSE(state(m_leaves));
    for (std::uint64_t report = 2; report < 200; ++report) {
        m_clock.advance(std::chrono::milliseconds(1200));
        list({entry(1, report)});
        CHECK_FALSE(isOffered());
    }
    list({}, std::chrono::milliseconds(2500));
    CHECK(m_table.size() == 0);
    list({entry(1, 300)});
    CHECK_FALSE(isOffered());
    CHECK(logLines("runner_leaving_stated") == 1);
    CHECK(m_table.leavingCount() == 1);
}

// Guards against a statement that outlasts the process: the next one, under the same id, would never be used.
TEST_CASE_METHOD(leaving_runners_fixture, "runner, left and starts again under its id, is offered", "[backends]")
{
    const bool isListedBetween = GENERATE(true, false);
    CAPTURE(isListedBetween);
    list({entry(1)});
    state(m_leaves);
    if (!isListedBetween) {
        list({});
    }
    list({entry(2)});
    CHECK(isOffered());
}

// Guards against an answer of the old process that arrives when the new one is listed and is taken for its own.
TEST_CASE_METHOD(leaving_runners_fixture, "runner, answer of its former process says leaving, is offered", "[backends]")
{
    list({entry(1)});
    start(1);
    list({entry(2)});
    m_table.noteLeaving(1, m_leaves, m_clock.steadyNow(), m_log);
    CHECK(isOffered());
}

// Guards against a runner without a start time that is never used again after it has left and returned.
TEST_CASE_METHOD(leaving_runners_fixture,
                 "runner, without start time states leaving, is offered after a minute",
                 "[backends]")
{
    list({entry(0)});
    state(m_leaves);
    m_clock.advance(std::chrono::seconds(59));
    list({entry(0, 2)});
    CHECK_FALSE(isOffered());
    m_clock.advance(std::chrono::seconds(1));
    list({entry(0, 3)});
    CHECK(isOffered());
}

// Guards against a faulty value that takes a runner out of use, and against a log line for each of its answers.
TEST_CASE_METHOD(leaving_runners_fixture,
                 "runner, states an unreadable value, is offered and logged once",
                 "[backends]")
{
    list({entry()});
    CHECK_FALSE(state({false, "maybe"}));
    CHECK_FALSE(state({false, "maybe"}));
    CHECK(isOffered());
    CHECK(logLines("runner_leaving_unreadable") == 1);
    CHECK(state(m_leaves));
    CHECK_FALSE(isOffered());
}

// Guards against statements of processes that have long ended filling the memory.
TEST_CASE_METHOD(leaving_runners_fixture, "runner, left long ago, is forgotten", "[backends]")
{
    list({entry()});
    state(m_leaves);
    list({});
    m_clock.advance(std::chrono::seconds(61));
    list({});
    CHECK(m_table.leavingCount() == 0);
}
