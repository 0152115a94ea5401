#include "plugins/backends/rate_limit_table.h"
#include "plugins/backends/rate_limiter.h"
#include "plugins/backends/tests/listed_members.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vmCount = 95;

/// The limiters of all VMs of a deployment.
class rate_limiter_fixture
{
protected:
    rate_limiter_fixture()
    {
        for (std::size_t number = 0; number < vmCount; ++number) {
            m_members[number].vmCount = vmCount;
            m_members[number].self = number;
            m_limiters.emplace_back(vm_id("vm-" + std::to_string(number)), rate_limiter::source_list{&m_limits[number]})
                .setMembers(&m_members[number]);
        }
    }

    void stateLimit(runner_key runner, double limit)
    {
        for (rate_limit_table &each : m_limits) {
            each.note(runner, {limit, {}}, true, now(), now());
        }
    }

    /// Sends at each VM whenever it may, and returns how many requests there were.
    std::size_t sendAllFor(duration time, runner_key runner)
    {
        std::size_t sent = 0;
        for (const steady_time end = now() + time; now() < end; m_clock.advance(20ms)) {
            for (rate_limiter &each : m_limiters) {
                if (each.delay(runner, now()) == duration::zero()) {
                    each.take(runner, now());
                    ++sent;
                }
            }
        }
        return sent;
    }

    std::size_t sharers(runner_key runner)
    {
        return static_cast<std::size_t>(std::count_if(
            m_limiters.begin(), m_limiters.end(), [&](rate_limiter &each) { return each.delay(runner, now()); }));
    }

    steady_time now() const
    {
        return m_clock.steadyNow();
    }

    manual_clock m_clock;
    std::array<listed_members, vmCount> m_members;
    std::array<rate_limit_table, vmCount> m_limits;
    std::deque<rate_limiter> m_limiters;
};

} // namespace

// Guards against limits that VMs exceed together after a pause, or that they leave unused.
TEST_CASE_METHOD(rate_limiter_fixture, "limit, all VMs have requests, is used and not exceeded", "[backends]")
{
    const double limit = GENERATE(0.1, 0.5, 1.0, 1.6, 2.5, 20.0, 200.0);
    const auto runner = GENERATE(values<runner_key>({1, 2, 3}));
    CAPTURE(limit, runner);
    stateLimit(runner, limit);
    const auto first = static_cast<double>(sendAllFor(4s, runner));
    CHECK(first <= 4 * limit + 1);
    m_clock.advance(8s);
    stateLimit(runner, limit);
    const auto afterPause = static_cast<double>(sendAllFor(4s, runner));
    CHECK(afterPause <= 6 * limit + 5);
    CHECK(afterPause >= std::floor(3.5 * limit));
}

// Guards against a permit that is used again and again because the time to the next one is rounded to nothing.
TEST_CASE_METHOD(rate_limiter_fixture, "limit, requests come at the moment of each permit, one is sent", "[backends]")
{
    constexpr runner_key runner = 6;
    stateLimit(runner, 2.5);
    for (rate_limiter &each : m_limiters) {
        for (int permit = 0; permit < 1000 && each.delay(runner, now()); ++permit) {
            m_clock.advance(*each.delay(runner, now()));
            if (each.delay(runner, now()) == duration::zero()) {
                each.take(runner, now());
                CHECK(each.delay(runner, now()) > duration::zero());
            }
        }
    }
}

// Guards against a runner that gets nothing any more when the VMs that share its limit have no request for it.
TEST_CASE_METHOD(rate_limiter_fixture, "limit, no VM hears of it for long, other VMs get their turn", "[backends]")
{
    constexpr runner_key runner = 4;
    stateLimit(runner, 1.6);
    std::vector<bool> hasHadTurn(vmCount, false);
    for (int turn = 0; turn < 30; ++turn) {
        CHECK(sharers(runner) == 2);
        for (std::size_t number = 0; number < vmCount; ++number) {
            hasHadTurn[number] = hasHadTurn[number] || m_limiters[number].delay(runner, now());
        }
        m_clock.advance(15s);
    }
    CHECK(std::count(hasHadTurn.begin(), hasHadTurn.end(), true) > 30);
}

// Guards against a runner that takes no requests and of which no VM would learn that it does again.
TEST_CASE_METHOD(rate_limiter_fixture, "limit of zero, stays unconfirmed, one request comes now and then", "[backends]")
{
    constexpr runner_key runner = 5;
    stateLimit(runner, 0.0);
    const std::size_t sent = sendAllFor(100s, runner);
    CHECK(sent >= 1);
    CHECK(sent <= 10);
}

// Guards against a VM that is cut off and takes the parts of all others, which go on.
TEST_CASE_METHOD(rate_limiter_fixture, "limit, VM loses contact with the others, gets no larger part", "[backends]")
{
    for (runner_key runner = 1; runner < 40; ++runner) {
        stateLimit(runner, 1.6);
        std::vector<bool> before;
        for (std::size_t number = 0; number < vmCount; ++number) {
            m_members[number].isInContact = true;
        }
        m_clock.advance(1s);
        for (rate_limiter &each : m_limiters) {
            before.push_back(each.delay(runner, now()).has_value());
        }
        for (std::size_t number = 0; number < vmCount; ++number) {
            m_members[number].isInContact = false;
        }
        m_clock.advance(1s);
        for (std::size_t number = 0; number < vmCount; ++number) {
            CHECK(m_limiters[number].delay(runner, now()).has_value() == before[number]);
        }
    }
}

// Guards against a limit that ends at the VM that hears so and stays at the others, or that comes back with a message
// that was under way.
TEST_CASE("limit lifted, at one VM, is lifted at the others and stays so", "[backends]")
{
    manual_clock clock;
    rate_limit_table first;
    rate_limit_table second;
    const auto now = [&clock] { return clock.steadyNow(); };
    first.note(1, {2.0, {}}, true, now(), now());
    const runner_limits stated = first.takeChanges(now());
    REQUIRE(stated.entries.size() == 1);
    CHECK(second.merge(stated.entries.front(), now()) == rate_limit_table::change::stated);
    CHECK(second.takeChanges(now()).entries.size() == 1);
    clock.advance(1s);
    CHECK(first.note(1, {}, true, now(), now()) == rate_limit_table::change::lifted);
    const runner_limits lifted = first.takeChanges(now());
    clock.advance(100ms);
    CHECK(second.merge(lifted.entries.front(), now()) == rate_limit_table::change::lifted);
    CHECK(second.find(1) == nullptr);
    runner_limits::entry late = stated.entries.front();
    late.age = 1100ms;
    CHECK(second.merge(late, now()) == rate_limit_table::change::none);
    CHECK(second.find(1) == nullptr);
    clock.advance(2s);
    CHECK(first.note(1, {3.0, {}}, true, now(), now()) == rate_limit_table::change::stated);
    CHECK(second.merge(first.takeChanges(now()).entries.front(), now()) == rate_limit_table::change::stated);
}

// Guards against messages that VMs pass on to each other without end.
TEST_CASE("limit, comes back from another VM, is not passed on again", "[backends]")
{
    manual_clock clock;
    rate_limit_table table;
    const auto now = [&clock] { return clock.steadyNow(); };
    table.note(1, {2.0, {}}, true, now(), now());
    const runner_limits sent = table.takeChanges(now());
    clock.advance(300ms);
    CHECK(table.merge(sent.entries.front(), now()) == rate_limit_table::change::none);
    CHECK_FALSE(table.hasChanges());
    for (int answer = 0; answer < 40; ++answer) {
        clock.advance(100ms);
        table.note(1, {2.0, {}}, true, now(), now());
    }
    CHECK_FALSE(table.hasChanges());
    clock.advance(2s);
    table.note(1, {2.0, {}}, true, now(), now());
    CHECK(table.hasChanges());
}
