#include "plugins/forwarding/suspect_table.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

constexpr suspect_table::suspect_id part = 7;

class suspect_table_fixture
{
protected:
    void lose(std::uint64_t runner, std::uint32_t request, suspect_table::suspect_id id = part, unsigned position = 1)
    {
        m_table.addLoss(id, position, {runner, request, m_clock.steadyNow()}, m_clock.steadyNow());
    }

    void answer(suspect_table::suspect_id id = part)
    {
        m_table.addSound(id, m_clock.steadyNow(), m_clock.steadyNow());
    }

    /// Isolates what is due; runners below 100 have ended.
    std::optional<suspect_table::suspect_id> isolate()
    {
        const auto isCrash = [](const suspect_table::loss &loss) { return loss.runner < 100; };
        m_table.isolateMostSuspect(isCrash, m_clock.steadyNow());
        m_clock.advance(1s);
        return m_table.isolateMostSuspect(isCrash, m_clock.steadyNow());
    }

    manual_clock m_clock;
    suspect_table m_table{partThresholds};
};

} // namespace

// Guards against an isolation on too little evidence, and against one that comes too late.
TEST_CASE_METHOD(suspect_table_fixture, "part, three runners ended, is isolated with the fourth", "[forwarding]")
{
    for (std::uint32_t runner = 1; runner <= 3; ++runner) {
        lose(runner, runner);
    }
    CHECK_FALSE(isolate());
    lose(4, 4);
    CHECK(isolate() == part);
    CHECK(m_table.findIsolation(part) != nullptr);
}

// Guards against the isolation of a part for the bad luck of one request.
TEST_CASE_METHOD(suspect_table_fixture, "part, one request lost all runners, is not isolated", "[forwarding]")
{
    for (std::uint64_t runner = 1; runner <= 8; ++runner) {
        lose(runner, 1);
    }
    CHECK_FALSE(isolate());
}

// Guards against one crash that counts several times, because it cut off several requests.
TEST_CASE_METHOD(suspect_table_fixture, "part, many requests lost at three runners, is not isolated", "[forwarding]")
{
    for (std::uint32_t request = 1; request <= 30; ++request) {
        lose(1 + request % 3, request);
    }
    CHECK_FALSE(isolate());
}

// Guards against the isolation of what all requests share.
TEST_CASE_METHOD(suspect_table_fixture, "shared part, answered between the losses, is not isolated", "[forwarding]")
{
    for (std::uint32_t runner = 1; runner <= 30; ++runner) {
        lose(runner, runner);
        m_clock.advance(100ms);
        if (runner % 3 == 0) {
            answer();
        }
        CHECK_FALSE(isolate());
    }
}

// Guards against the isolation of a part that was sound seconds before, when several runners end at once.
TEST_CASE_METHOD(suspect_table_fixture, "part, answered lately, is isolated after more losses", "[forwarding]")
{
    answer();
    m_clock.advance(5s);
    for (std::uint32_t runner = 1; runner <= 5; ++runner) {
        lose(runner, runner);
    }
    CHECK_FALSE(isolate());
    lose(6, 6);
    CHECK(isolate() == part);
}

// Guards against lost answers of a rare part that are taken for crashed runners.
TEST_CASE_METHOD(suspect_table_fixture, "part, runners that may not have ended, needs six of them", "[forwarding]")
{
    for (std::uint32_t runner = 101; runner <= 105; ++runner) {
        lose(runner, runner);
    }
    CHECK_FALSE(isolate());
    lose(106, 6);
    CHECK(isolate() == part);
}

// Guards against the isolation of a part that other parts' crashes explain.
TEST_CASE_METHOD(suspect_table_fixture, "two parts, same runners, the more specific one is isolated", "[forwarding]")
{
    constexpr suspect_table::suspect_id caller = 99;
    for (std::uint32_t runner = 1; runner <= 4; ++runner) {
        lose(runner, runner, part, 1);
        lose(runner, runner, caller, 0);
    }
    CHECK(isolate() == part);
    CHECK_FALSE(isolate());
    CHECK(m_table.find(caller) == nullptr);
    // Reported late.
    lose(3, 3, caller, 0);
    CHECK(m_table.find(caller) == nullptr);
}

// Guards against a part that stays isolated after it was answered, and against one that isolates itself again at once.
TEST_CASE_METHOD(suspect_table_fixture, "isolated part, answered, is released", "[forwarding]")
{
    for (std::uint32_t runner = 1; runner <= 4; ++runner) {
        lose(runner, runner);
    }
    REQUIRE(isolate() == part);
    m_clock.advance(10s);
    const steady_time now = m_clock.steadyNow();
    CHECK(m_table.addSound(part, now, now) == suspect_table::sound_effect::isolation_ended);
    CHECK(m_table.findIsolation(part) == nullptr);
    CHECK_FALSE(m_table.isolate(part, 1, {now - 5s, now, 0}));
}

// Guards against an isolation that lasts for ever, and against one that ends while requests still come.
TEST_CASE_METHOD(suspect_table_fixture,
                 "isolated part, no more requests, is released after ten minutes",
                 "[forwarding]")
{
    m_table.isolate(part, 1, {m_clock.steadyNow(), m_clock.steadyNow(), 0});
    m_clock.advance(9min);
    CHECK(m_table.expire(m_clock.steadyNow()).empty());
    m_table.findIsolation(part)->lastRefusal = m_clock.steadyNow();
    m_clock.advance(9min);
    CHECK(m_table.expire(m_clock.steadyNow()).empty());
    m_clock.advance(2min);
    CHECK(m_table.expire(m_clock.steadyNow()) == std::vector{part});
    CHECK(m_table.suspects().empty());
}

// Guards against memory that grows with the number of prompt parts, which callers choose.
TEST_CASE_METHOD(suspect_table_fixture, "many parts, lost and isolated, table stays bounded", "[forwarding]")
{
    for (std::uint64_t id = 1; id <= 10'000; ++id) {
        for (std::uint32_t runner = 1; runner <= 40; ++runner) {
            lose(runner, runner, id);
        }
    }
    CHECK(m_table.suspects().size() <= 2048);
    CHECK(m_table.suspects().begin()->second.losses.size() <= 16);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        m_table.isolate(id, 1, {m_clock.steadyNow(), m_clock.steadyNow(), 0});
    }
    CHECK(m_table.isolatedCount() <= 32);
    m_clock.advance(2min);
    m_table.expire(m_clock.steadyNow());
    CHECK(m_table.suspects().size() <= 32);
}

namespace {

class suspect_request_fixture : protected suspect_table_fixture
{
protected:
    suspect_request_fixture()
    {
        m_table = suspect_table(requestThresholds);
    }

    static constexpr suspect_table::suspect_id crashing = 8;
    static constexpr suspect_table::suspect_id sound = 9;
};

} // namespace

// Guards against a request that goes on to crash runners, and against sound ones beside it that are refused with it.
TEST_CASE_METHOD(suspect_request_fixture, "request, three runners ended, is isolated alone", "[forwarding]")
{
    for (std::uint32_t runner = 1; runner <= 3; ++runner) {
        CHECK_FALSE(isolate());
        lose(runner, 1, crashing);
        lose(runner, 2, runner == 3 ? sound + 1 : sound);
    }
    CHECK(isolate() == crashing);
    CHECK(m_table.findIsolation(sound) == nullptr);
    CHECK_FALSE(isolate());
}

// Guards against a sound request that is taken for the cause because it was at the same three runners.
TEST_CASE_METHOD(suspect_request_fixture,
                 "request, another lost the same runners, is isolated when it leads",
                 "[forwarding]")
{
    for (std::uint32_t runner = 1; runner <= 3; ++runner) {
        lose(runner, 1, crashing);
        lose(runner, 2, sound);
    }
    CHECK_FALSE(isolate());
    SECTION("the other is answered")
    {
        answer(sound);
        CHECK(isolate() == crashing);
    }
    SECTION("it loses another runner")
    {
        lose(4, 3, crashing);
        CHECK(isolate() == crashing);
        CHECK_FALSE(isolate());
    }
}
