#include "plugins/backends/rate_limit_table.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;
using change = rate_limit_table::change;

namespace {

constexpr runner_key runner = 5;

class rate_limit_table_fixture
{
protected:
    /// The answer arrives @p delay after its attempt started.
    change answer(std::optional<double> limit, duration delay = 10ms, bool isGenuine = true)
    {
        const steady_time started = m_clock.steadyNow();
        m_clock.advance(delay);
        return m_table.note(runner, {limit, {}}, isGenuine, started, m_clock.steadyNow());
    }

    manual_clock m_clock;
    rate_limit_table m_table;
};

} // namespace

// Guards against a limit that is forgotten, or kept after the runner has ended it.
TEST_CASE_METHOD(rate_limit_table_fixture, "rate limit, stated and no longer stated, is known in between", "[backends]")
{
    CHECK(answer(std::nullopt) == change::none);
    CHECK(answer(2.0) == change::stated);
    CHECK(answer(2.05) == change::none);
    REQUIRE(m_table.find(runner) != nullptr);
    CHECK(m_table.find(runner)->requestsPerSecond == 2.05);
    CHECK(answer(1.0) == change::stated);
    CHECK(answer(std::nullopt) == change::lifted);
    CHECK(m_table.find(runner) == nullptr);
}

// Guards against a limit that ends with an answer that the runner began before it named the limit.
TEST_CASE_METHOD(rate_limit_table_fixture, "rate limit, older answer arrives late, stays", "[backends]")
{
    const steady_time started = m_clock.steadyNow();
    m_clock.advance(20ms);
    CHECK(answer(2.0) == change::stated);
    m_clock.advance(1s);
    CHECK(m_table.note(runner, {}, true, started, m_clock.steadyNow()) == change::none);
    CHECK(m_table.find(runner) != nullptr);
}

// Guards against a limit that ends with bytes that the runner did not make for the request.
TEST_CASE_METHOD(rate_limit_table_fixture, "rate limit, answer not genuine or not readable, stays", "[backends]")
{
    CHECK(answer(2.0) == change::stated);
    CHECK(answer(std::nullopt, 10ms, false) == change::none);
    const steady_time now = m_clock.steadyNow();
    CHECK(m_table.note(runner, {std::nullopt, "-1"}, true, now, now) == change::unreadable);
    CHECK(m_table.note(runner, {std::nullopt, "-1"}, true, now, now) == change::none);
    REQUIRE(m_table.find(runner) != nullptr);
    CHECK(m_table.find(runner)->requestsPerSecond == 2.0);
}
