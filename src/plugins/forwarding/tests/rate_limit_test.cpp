#include "simulated_fleet.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t firstPart = 0x10000;
constexpr std::size_t partCount = 40;
/// VMs have this time to learn of a limit and to share it.
constexpr std::chrono::seconds reactionTime{4};
constexpr std::chrono::seconds window{4};

/// Requests that a runner may get in one window.
std::size_t allowed(double requestsPerSecond)
{
    constexpr double tolerance = 1.5;
    constexpr double slack = 5.0;
    return static_cast<std::size_t>(tolerance * toSeconds(window) * requestsPerSecond + slack);
}

struct size {
    std::size_t vms;
    std::size_t runners;
    double requestsPerSecond;
};

/// VMs of three sizes of deployments, with requests that come evenly at all VMs or, mostly, at one of ten.
class limited_fleet
{
public:
    explicit limited_fleet(const size &size, bool isUneven = false)
        : fleet(size.vms, size.runners)
        , m_size(size)
        , m_isUneven(isUneven)
    {
    }

    void run(duration time)
    {
        constexpr double stepsPerSecond = 100.0;
        const steady_time end = fleet.now() + time;
        while (fleet.now() < end) {
            fleet.run(10ms);
            for (m_due += m_size.requestsPerSecond / stepsPerSecond; m_due >= 1.0; m_due -= 1.0) {
                fleet.send(anyVm(), firstPart + m_random.below(partCount));
            }
        }
    }

    simulated_fleet fleet;

private:
    std::size_t anyVm()
    {
        constexpr double shareOfBusyVms = 0.9;
        const bool isAtBusyVm = m_isUneven && m_random.unit() < shareOfBusyVms;
        const std::size_t busyVms = std::max<std::size_t>(m_size.vms / 10, 1);
        return m_random.below(isAtBusyVm ? busyVms : m_size.vms);
    }

    size m_size;
    bool m_isUneven;
    double m_due = 0.0;
    seeded_random m_random{11};
};

constexpr size small{6, 9, 80.0};
constexpr size medium{95, 53, 300.0};
constexpr size large{300, 60, 400.0};

} // namespace

// Guards against VMs that send a runner more requests together than it takes, because none of them reads the limit or
// each keeps it by itself.
TEST_CASE("runners with a limit, VMs of one deployment, keep the limit together", "[forwarding]")
{
    const size deployment = GENERATE(values<size>({small, medium, large}));
    const double limit = GENERATE(0.5, 1.6, 2.5);
    CAPTURE(deployment.vms, limit);
    limited_fleet source(deployment);
    source.run(2s);
    source.fleet.setLimit(2, limit);
    const steady_time stated = source.fleet.now();
    source.run(reactionTime + 10s);
    CHECK(source.fleet.mostArrivalsAtLimited(stated + reactionTime, window) <= allowed(limit));
}

// Guards against a limit that the few VMs with most of the requests exceed.
TEST_CASE("runners with a limit, most requests at few VMs, keep the limit together", "[forwarding]")
{
    const size deployment = GENERATE(values<size>({small, medium}));
    constexpr double limit = 1.6;
    CAPTURE(deployment.vms);
    limited_fleet source(deployment, true);
    source.run(2s);
    source.fleet.setLimit(2, limit);
    const steady_time stated = source.fleet.now();
    source.run(reactionTime + 10s);
    CHECK(source.fleet.mostArrivalsAtLimited(stated + reactionTime, window) <= allowed(limit));
}

// Guards against requests that go to runners with a limit because no other runner is left: from the queue, and as
// further attempts.
TEST_CASE("runners with a limit, all of the service, keep the limit together", "[forwarding]")
{
    constexpr double limit = 2.5;
    limited_fleet source(small);
    source.run(2s);
    source.fleet.setLimit(small.runners, limit);
    source.fleet.setLostAnswers(0.3);
    const steady_time stated = source.fleet.now();
    source.run(reactionTime + 10s);
    CHECK(source.fleet.mostArrivalsAtLimited(stated + reactionTime, window) <= allowed(limit));
}

// Guards against VMs that forget the limit when they restart, or send what they could not send while they stood still
// or were cut off.
TEST_CASE("runners with a limit, VMs restart, freeze or are cut off, keep the limit together", "[forwarding]")
{
    constexpr double limit = 2.5;
    const size deployment = GENERATE(values<size>({small, medium}));
    CAPTURE(deployment.vms);
    limited_fleet source(deployment);
    source.run(2s);
    source.fleet.setLimit(2, limit);
    const steady_time stated = source.fleet.now();
    source.run(reactionTime);
    source.fleet.setCut(0, true);
    source.run(3s);
    source.fleet.setFrozen(1, true);
    source.fleet.restart(2);
    source.run(5s);
    source.fleet.setCut(0, false);
    source.fleet.setFrozen(1, false);
    source.run(8s);
    CHECK(source.fleet.mostArrivalsAtLimited(stated + reactionTime, window) <= allowed(limit));
}
