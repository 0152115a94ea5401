#include "simulated_fleet.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t firstSoundPart = 0x100;
constexpr std::size_t soundParts = 40;

/// Sends 80 sound requests and, if @p withCrashing is set, four with the crashing part per second, at any VM.
void runWithRequests(simulated_fleet &fleet, duration time, bool withCrashing)
{
    seeded_random random{3};
    const steady_time end = fleet.now() + time;
    for (unsigned count = 1; fleet.now() < end; ++count) {
        fleet.run(50ms);
        for (int sound = 0; sound < 4; ++sound) {
            fleet.send(random.below(fleet.vmCount()), firstSoundPart + random.below(soundParts));
        }
        if (withCrashing && count % 5 == 0) {
            fleet.send(random.below(fleet.vmCount()), simulated_fleet::crashingPart);
        }
    }
}

} // namespace

// Guards against one kind of request that crashes runner after runner, because nothing relates the losses to the prompt
// part that they share.
TEST_CASE("crashing part, five runners lost, at most three later requests reach runners", "[forwarding][!shouldfail]")
{
    simulated_fleet fleet(6, 12);
    runWithRequests(fleet, 5s, false);
    runWithRequests(fleet, 25s, true);
    REQUIRE(fleet.crashes().size() >= 5);
    CHECK(fleet.crashingRequestsSentAfter(fleet.crashes()[4] + 4s) <= 3);
}
