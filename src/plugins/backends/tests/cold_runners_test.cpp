#include "plugins/backends/cold_runners.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

class cold_runners_fixture
{
protected:
    cold_runners_fixture()
    {
        forward_service limited;
        limited.id = service_id("limited");
        limited.coldRequestsPerSecond = 8.8;
        limited.coldTime = 3s;
        forward_service unlimited;
        unlimited.id = service_id("unlimited");
        unlimited.coldTime = 3s;
        m_runners.setServices({limited, unlimited});
    }

    void list(const std::vector<std::pair<std::string, std::int64_t>> &runnersAndStarts,
              const std::string &service = "limited",
              duration coldLeft = {})
    {
        backend_list_read read;
        for (const auto &[id, start] : runnersAndStarts) {
            backend_entry entry;
            entry.id = runner_id(id);
            entry.service = service_id(service);
            entry.startedUnixMilliseconds = start;
            entry.coldUntil = now() + coldLeft;
            read.entries.push_back(entry);
        }
        m_runners.applyList(read, now());
    }

    bool isCold(const std::string &runner, std::int64_t start) const
    {
        return m_runners.limitOf(keyOf(runner_id(runner), start), now()).has_value();
    }

    /// Names and sources of the log lines since the last call.
    std::vector<std::string> reported()
    {
        action_list log;
        m_runners.report(now(), log);
        std::vector<std::string> lines;
        for (const action &each : log) {
            const auto &line = std::get<log_decision>(each);
            const bool hasSource = line.fields.size() > 1;
            lines.push_back(std::string(line.event) + (hasSource ? " " + line.fields[1].second : ""));
        }
        return lines;
    }

    steady_time now() const
    {
        return m_clock.steadyNow();
    }

    manual_clock m_clock;
    cold_runners m_runners;
};

using lines = std::vector<std::string>;

} // namespace

// Guards against a VM that starts and takes all runners for new ones, or ignores what their entries state.
TEST_CASE_METHOD(cold_runners_fixture, "first list, runners are cold as long as entries state", "[backends]")
{
    SECTION("no time left")
    {
        list({{"a", 1}});
        CHECK_FALSE(isCold("a", 1));
    }
    SECTION("some time left")
    {
        list({{"a", 1}}, "limited", 2s);
        m_clock.advance(1999ms);
        CHECK(isCold("a", 1));
        m_clock.advance(1ms);
        CHECK_FALSE(isCold("a", 1));
    }
}

// Guards against a burst at a process whose entry doesn't state yet that it is cold.
TEST_CASE_METHOD(cold_runners_fixture, "process, new in a later list, is cold for its service's time", "[backends]")
{
    list({{"a", 1}});
    m_clock.advance(1s);
    list({{"a", 2}, {"b", 1}});
    CHECK_FALSE(isCold("a", 1));
    CHECK(isCold("a", 2));
    CHECK(isCold("b", 1));
    CHECK(reported() == lines{"runner_cold new_process", "runner_cold new_process"});
    m_clock.advance(2900ms);
    list({{"a", 2}, {"b", 1}});
    CHECK(isCold("b", 1));
    m_clock.advance(100ms);
    CHECK_FALSE(isCold("a", 2));
    CHECK(m_runners.nextDeadline() == now());
    CHECK(reported() == lines{"runner_warm new_process", "runner_warm new_process"});
}

// Guards against a failure of the store after which all runners count as new.
TEST_CASE_METHOD(cold_runners_fixture, "process, missing from the list for a while, is not a new one", "[backends]")
{
    list({{"a", 1}, {"without-start", 0}});
    list({});
    m_clock.advance(30s);
    list({{"a", 1}, {"without-start", 0}});
    CHECK_FALSE(isCold("a", 1));
    CHECK(isCold("without-start", 0));
}

// Guards against a shorter time that replaces a longer one.
TEST_CASE_METHOD(cold_runners_fixture, "entry and answer, state different times, the later counts", "[backends]")
{
    list({{"a", 1}}, "limited", 2s);
    const runner_key key = keyOf(runner_id("a"), 1);
    m_runners.setColdUntil(key, now() + 1s, cold_source::answer);
    m_clock.advance(1500ms);
    CHECK(isCold("a", 1));
    m_runners.setColdUntil(key, now() + 1s, cold_source::answer);
    m_clock.advance(900ms);
    CHECK(isCold("a", 1));
    CHECK(reported() == lines{"runner_cold answer"});
    m_clock.advance(100ms);
    CHECK_FALSE(isCold("a", 1));
}

// Guards against a burst at a process that has restarted and is still listed as the old one, and at runners of a zone
// that gets requests again.
TEST_CASE_METHOD(cold_runners_fixture, "process, may have started unobserved, is cold for that time", "[backends]")
{
    list({{"a", 1}});
    const runner_key key = keyOf(runner_id("a"), 1);
    m_runners.setColdFrom(key, now(), {}, cold_source::connection_refused);
    CHECK(isCold("a", 1));
    m_clock.advance(1s);
    m_runners.setColdFrom(key, now(), 3s, cold_source::evacuation);
    m_clock.advance(3500ms);
    m_runners.setListTime(now());
    m_runners.setColdFrom(key, now() - 2s, {}, cold_source::connection_refused);
    m_clock.advance(2400ms);
    CHECK(isCold("a", 1));
    m_clock.advance(100ms);
    CHECK_FALSE(isCold("a", 1));
}

// Guards against a VM that is cut off and doesn't hear that runners become cold.
TEST_CASE_METHOD(cold_runners_fixture, "list, older than four seconds, all runners count as cold", "[backends]")
{
    list({{"a", 1}});
    CHECK(reported().empty());
    m_clock.advance(4s);
    CHECK_FALSE(isCold("a", 1));
    m_clock.advance(1ms);
    CHECK(isCold("a", 1));
    CHECK(m_runners.nextDeadline() == now());
    CHECK(reported() == lines{"runner_list_old"});
    m_runners.setListTime(now());
    CHECK_FALSE(isCold("a", 1));
    CHECK(reported() == lines{"runner_list_current"});
}

// Guards against limits in deployments that configure none.
TEST_CASE_METHOD(cold_runners_fixture, "service without a rate, runner is new and list old, no limit", "[backends]")
{
    list({});
    list({{"a", 1}}, "unlimited", 2s);
    m_runners.setColdFrom(keyOf(runner_id("a"), 1), now(), 3s, cold_source::connection_refused);
    CHECK_FALSE(m_runners.hasLimits(now()));
    CHECK_FALSE(isCold("a", 1));
    m_clock.advance(10s);
    CHECK_FALSE(isCold("a", 1));
    m_runners.setServices({});
    CHECK_FALSE(m_runners.hasLimits(now()));
    CHECK(m_runners.nextDeadline() == steady_time::max());
}
