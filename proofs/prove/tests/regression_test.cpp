#include "scenarios.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace crocuslane;

namespace {

violation_list violationsOf(const std::string &name, std::uint64_t seed, bool isControl = false)
{
    const auto &all = allScenarios();
    const auto found =
        std::find_if(all.begin(), all.end(), [&name](const scenario &candidate) { return candidate.name == name; });
    REQUIRE(found != all.end());
    return runHistory(*found, seed, isControl).violations;
}

} // namespace

// Guards against an accepted version being lost when most VMs that confirmed it restart during a log outage and then
// confirm an older version to each other.
TEST_CASE("proofs, most VMs restarted in a log outage, accepted version does not revert", "[proofs]")
{
    for (const std::uint64_t seed : {3, 9, 15, 33}) {
        CHECK(violationsOf("configuration", seed).empty());
    }
}

// Guards against histories that differ between runs of the same seed, so that a violation could not be reproduced.
TEST_CASE("proofs, same seed, same history", "[proofs]")
{
    const auto &scenario = allScenarios().front();
    const history_result first = runHistory(scenario, 5, true);
    const history_result second = runHistory(scenario, 5, true);
    CHECK(first.events == second.events);
    CHECK(first.violations == second.violations);
}
