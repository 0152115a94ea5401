#include "plugins/forwarding/crash_suspects.h"
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
TEST_CASE("crashing request, three runners lost, at most three later repeats reach runners", "[forwarding]")
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

// Guards against sound requests that are refused, or lost twice, because they were at the runners that another request
// crashed.
TEST_CASE("sound requests, beside one that crashes runners, are not refused", "[forwarding]")
{
    const double perSecond = GENERATE(0.4, 2.0);
    CAPTURE(perSecond);
    crashing_request_source source({6, 9});
    source.run(3s, 0.0, firstPart);
    source.run(30s, perSecond, firstPart);
    CHECK(source.fleet.refusedSoundRequests() == 0);
    CHECK(source.fleet.failedSoundRequests() <= 2);
}

// Guards against the isolation of requests on days when runners crash by themselves or lose answers.
TEST_CASE("sound requests, runners crash or lose answers, are not isolated", "[forwarding]")
{
    const double lostAnswers = GENERATE(0.0, 0.2, 0.4);
    CAPTURE(lostAnswers);
    crashing_request_source source({6, 12});
    source.fleet.setLostAnswers(lostAnswers);
    for (int second = 0; second < 40; ++second) {
        source.run(1s, 0.0, firstPart);
        source.fleet.endRandomRunner();
    }
    CHECK(source.fleet.logLines("request_isolated") == 0);
}

// Guards against a VM that forgets the request when it restarts, and against one that stays refused although it no
// longer crashes runners.
TEST_CASE("crashing request, VM restarts and later the request is sound, is refused and then released", "[forwarding]")
{
    crashing_request_source source({20, 12});
    source.run(3s, 0.0, firstPart);
    source.run(10s, 2.0, firstPart);
    source.fleet.restart(7);
    source.fleet.run(500ms);
    source.fleet.clearRefusals();
    source.fleet.sendCrashingRequest(7, firstPart);
    CHECK(source.fleet.refusals(refusal_reason::request_isolated).size() == 1);
    source.fleet.setCrashing(false);
    source.run(70s, 2.0, firstPart);
    source.fleet.clearRefusals();
    for (std::size_t vm = 0; vm < source.fleet.vmCount(); ++vm) {
        source.fleet.sendCrashingRequest(vm, firstPart);
    }
    CHECK(source.fleet.refusals(refusal_reason::request_isolated).empty());
}

// Guards against crashes that are not counted because the attempt was cancelled with the first part of the answer, to
// ask a larger model.
TEST_CASE("crashing request, attempts cancelled as their runners end, is isolated", "[forwarding]")
{
    manual_clock clock;
    crash_suspects suspects({&clock, vm_id("vm"), nullptr});
    forward_request request;
    request.fingerprint = simulated_fleet::crashingFingerprint;
    action_list actions;
    attempt_number number = 0;
    for (int crash = 1; crash <= 3; ++crash) {
        const runner_id runner("runner-" + std::to_string(crash));
        suspects.attemptStarted(++number, request, runner);
        suspects.attemptEnded(number, attempt_end::cancelled);
        // The runner's other requests show that it ended.
        std::vector<attempt_number> others;
        for (int other = 0; other < 3; ++other) {
            forward_request sound;
            sound.fingerprint = 1000 + number;
            suspects.attemptStarted(++number, sound, runner);
            others.push_back(number);
        }
        clock.advance(100ms);
        for (const attempt_number other : others) {
            suspects.connectionLost(other);
            suspects.attemptEnded(other, attempt_end::lost);
        }
        clock.advance(1s);
        suspects.expire(actions);
    }
    clock.advance(1s);
    suspects.expire(actions);
    CHECK(suspects.isolation(request) == refusal_reason::request_isolated);
    request.fingerprint = 1001;
    CHECK_FALSE(suspects.isolation(request));
}
