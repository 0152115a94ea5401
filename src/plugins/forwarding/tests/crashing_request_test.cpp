#include "simulated_fleet.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t firstPart = 0x10000;
constexpr std::size_t partCount = 40;
/// VMs have this time after the third crash to tell each other of it.
constexpr std::chrono::seconds reactionTime{4};

struct size {
    std::size_t vms;
    std::size_t runners;
};

/// Sound requests, beside one request that crashes runners and comes again and again at any VM.
class crashing_request_source
{
public:
    explicit crashing_request_source(const size &size)
        : fleet(size.vms, size.runners)
    {
    }

    void run(duration time, double crashingPerSecond, std::optional<std::uint64_t> part)
    {
        constexpr double soundPerSecond = 80.0;
        const steady_time end = fleet.now() + time;
        while (fleet.now() < end) {
            fleet.run(10ms);
            if (isDue(soundPerSecond)) {
                fleet.send(m_random.below(fleet.vmCount()), firstPart + m_random.below(partCount));
            }
            if (isDue(crashingPerSecond)) {
                fleet.sendCrashingRequest(m_random.below(fleet.vmCount()), part);
            }
        }
    }

    simulated_fleet fleet;

private:
    bool isDue(double perSecond)
    {
        constexpr double stepsPerSecond = 100.0;
        return m_random.unit() < perSecond / stepsPerSecond;
    }

    seeded_random m_random{5};
};

} // namespace

// Guards against one request that crashes runner after runner, because nothing relates it to its repeats: its shared
// parts are sound, its ids differ, and it comes at any VM.
TEST_CASE("crashing request, three runners lost, at most three later repeats reach runners",
          "[forwarding][!shouldfail]")
{
    const size deployment = GENERATE(values<size>({{6, 9}, {30, 24}, {95, 53}}));
    const double perSecond = GENERATE(0.4, 2.0);
    const auto part =
        GENERATE(values<std::optional<std::uint64_t>>({firstPart, simulated_fleet::crashingPart, std::nullopt}));
    CAPTURE(deployment.vms, perSecond, part.has_value());
    crashing_request_source source(deployment);
    source.run(3s, 0.0, part);
    source.run(30s, perSecond, part);
    const std::vector<steady_time> &crashes = source.fleet.crashes();
    REQUIRE(crashes.size() >= 3);
    CHECK(source.fleet.crashingRequestsSentAfter(crashes[2] + reactionTime) <= 3);
}
