#include "base/clock.h"
#include "base/digest.h"
#include "base/hybrid_clock.h"
#include "base/name_table.h"
#include "base/random_source.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

enum class colour {
    red,
    green,
};

constexpr auto colourNames = makeNameTable<colour>({{colour::red, "red"}, {colour::green, "green"}});

} // namespace

// Guards against a clock that goes back when the time of an event is before the current time.
TEST_CASE("manual clock, advanced to a past time, stays at its time", "[base]")
{
    manual_clock clock;
    const steady_time start = clock.steadyNow();
    clock.advance(std::chrono::seconds(5));
    clock.advanceTo(start);
    CHECK(clock.steadyNow() == start + std::chrono::seconds(5));
}

// Guards against a name that is written but can't be parsed.
TEST_CASE("name table, name of a value, gives the value", "[base]")
{
    CHECK(colourNames.value(colourNames.name(colour::green)) == colour::green);
    CHECK_FALSE(colourNames.value("blue"));
    CHECK(colourNames.allNames() == "red, green");
}

// Guards against runs that can't be repeated from their seed.
TEST_CASE("seeded random, same seed, gives the same numbers", "[base]")
{
    seeded_random first(7);
    seeded_random second(7);
    CHECK(first.next() == second.next());
    CHECK(first.unit() < 1.0);
    CHECK(first.below(0) == 0);
}

// Guards against a wrong digest; the value is the published test vector for "abc".
TEST_CASE("sha256, published vector, matches", "[base]")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(equalConstantTime("ab", "ab"));
    CHECK_FALSE(equalConstantTime("ab", "abc"));
}

// Guards against a timeline that lists an event on one VM before the event on another VM that caused it.
TEST_CASE("hybrid clock, received time ahead, gives later times", "[base]")
{
    manual_clock clock;
    hybrid_clock hybrid(clock);
    const hybrid_time first = hybrid.now();
    CHECK(hybrid.now() > first);
    const hybrid_time received{first.milliseconds + 500, 7};
    hybrid.observe(received);
    CHECK(hybrid.now() > received);
    clock.advance(std::chrono::seconds(1));
    CHECK(hybrid.now() == hybrid_time{unixMilliseconds(clock.systemNow()), 0});
}

// Guards against a VM with a wrong wall clock that moves the times of all others.
TEST_CASE("hybrid clock, received time too far ahead, ignores it", "[base]")
{
    manual_clock clock;
    hybrid_clock hybrid(clock);
    hybrid.observe({unixMilliseconds(clock.systemNow()) + hybrid_clock::maximumLead.count() + 1, 0});
    CHECK(hybrid.now() == hybrid_time{unixMilliseconds(clock.systemNow()), 0});
}
