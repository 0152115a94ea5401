#include "base/clock.h"
#include "base/digest.h"
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

// Guards against a clock that moves back when an event is older than the current time.
TEST_CASE("manual clock, advanced to a past time, stays", "[base]")
{
    manual_clock clock;
    const steady_time start = clock.steadyNow();
    clock.advance(std::chrono::seconds(5));
    clock.advanceTo(start);
    CHECK(clock.steadyNow() == start + std::chrono::seconds(5));
}

// Guards against a name that is written but can't be read back.
TEST_CASE("name table, every name, reads back", "[base]")
{
    CHECK(colourNames.value(colourNames.name(colour::green)) == colour::green);
    CHECK_FALSE(colourNames.value("blue"));
    CHECK(colourNames.allNames() == "red, green");
}

// Guards against an unrepeatable run.
TEST_CASE("seeded random, same seed, same numbers", "[base]")
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
