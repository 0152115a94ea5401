#include "plugins/forwarding/crash_suspects.h"
#include "simulated_fleet.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t firstSoundPart = 0x10000;
constexpr std::size_t soundParts = 40;

struct load {
    double soundPerSecond = 80;
    double crashingPerSecond = 0;
    std::uint64_t parts = soundParts;
    double endedRunnersPerSecond = 0.0;
};

/// Sends requests at any VM, in an order that is the same in each run.
class request_source
{
public:
    explicit request_source(simulated_fleet &fleet)
        : m_fleet(fleet)
    {
    }

    void run(duration time, const load &load)
    {
        const steady_time end = m_fleet.now() + time;
        while (m_fleet.now() < end) {
            m_fleet.run(10ms);
            if (isDue(load.soundPerSecond)) {
                m_fleet.send(anyVm(), firstSoundPart + m_random.below(load.parts));
            }
            if (isDue(load.crashingPerSecond)) {
                m_fleet.send(anyVm(), simulated_fleet::crashingPart);
            }
            if (isDue(load.endedRunnersPerSecond)) {
                m_fleet.endRandomRunner();
            }
        }
    }

    void runUntilCrashes(std::size_t count, const load &load)
    {
        const steady_time limit = m_fleet.now() + 60s;
        while (m_fleet.crashes().size() < count && m_fleet.now() < limit) {
            run(10ms, load);
        }
        REQUIRE(m_fleet.crashes().size() >= count);
    }

private:
    bool isDue(double perSecond)
    {
        constexpr double stepsPerSecond = 100.0;
        return m_random.unit() < perSecond / stepsPerSecond;
    }

    std::size_t anyVm()
    {
        return m_random.below(m_fleet.vmCount());
    }

    simulated_fleet &m_fleet;
    seeded_random m_random{3};
};

std::size_t isolationsOf(const simulated_fleet &fleet)
{
    return fleet.logLines("prompt_part_isolated");
}

} // namespace

// Guards against one kind of request that crashes runner after runner, because nothing relates the losses to the prompt
// part that they share.
TEST_CASE("crashing part, five runners lost, at most three later requests reach runners", "[forwarding]")
{
    simulated_fleet fleet(6, 12);
    request_source source(fleet);
    source.run(5s, {80, 0});
    source.run(25s, {80, 4});
    REQUIRE(fleet.crashes().size() >= 5);
    CHECK(fleet.crashingRequestsSentAfter(fleet.crashes()[4] + 4s) <= 3);
}

// Guards against a VM among many that learns of the crashes too late, since it sees few of the requests itself.
TEST_CASE("crashing part, many VMs, all refuse it within two seconds of the fifth crash", "[forwarding]")
{
    const auto [vms, runners] = GENERATE(std::pair(6, 12), std::pair(30, 24), std::pair(95, 53));
    CAPTURE(vms);
    simulated_fleet fleet(static_cast<std::size_t>(vms), static_cast<std::size_t>(runners));
    request_source source(fleet);
    source.run(3s, {80, 0});
    source.runUntilCrashes(5, {80, 4});
    source.run(2s, {80, 4});
    fleet.clearRefusals();
    const steady_time sentAt = fleet.now() - 1ms;
    for (std::size_t vm = 0; vm < fleet.vmCount(); ++vm) {
        fleet.send(vm, simulated_fleet::crashingPart);
    }
    CHECK(fleet.refusals(refusal_reason::prompt_part_isolated).size() == fleet.vmCount());
    CHECK(fleet.crashingRequestsSentAfter(sentAt) == 0);
    CHECK(fleet.largestMessage() <= 56);
}

// Guards against an isolation that hits the parts, and so the callers, that sound requests share with the guilty ones.
TEST_CASE("sound parts, runners crash under another part, are not isolated", "[forwarding]")
{
    const std::uint64_t parts = GENERATE(5, 40, 400, 4000);
    CAPTURE(parts);
    simulated_fleet fleet(6, 12);
    request_source source(fleet);
    source.run(3s, {80, 0, parts});
    source.run(30s, {80, 6, parts});
    CHECK(isolationsOf(fleet) == fleet.vmCount());
    CHECK(fleet.refusedSoundRequests() == 0);
}

// Guards against the isolation of parts on days when runners crash by themselves or lose answers.
TEST_CASE("sound parts, runners crash or lose answers, are not isolated", "[forwarding]")
{
    const std::uint64_t parts = GENERATE(5, 40, 400, 4000);
    const double lostAnswers = GENERATE(0.0, 0.2, 0.4);
    const double endedRunners = GENERATE(0.0, 1.0);
    CAPTURE(parts, lostAnswers, endedRunners);
    simulated_fleet fleet(6, 12);
    request_source source(fleet);
    fleet.setLostAnswers(lostAnswers);
    source.run(40s, {80, 0, parts, endedRunners});
    CHECK(isolationsOf(fleet) == 0);
}

// Guards against a VM that forgets an isolated part when it restarts.
TEST_CASE("isolated part, VM restarts, is refused there again", "[forwarding]")
{
    simulated_fleet fleet(20, 12);
    request_source source(fleet);
    source.run(3s, {80, 0});
    source.runUntilCrashes(5, {80, 4});
    source.run(5s, {80, 4});
    fleet.restart(7);
    fleet.run(500ms);
    fleet.clearRefusals();
    fleet.send(7, simulated_fleet::crashingPart);
    CHECK(fleet.refusals(refusal_reason::prompt_part_isolated).size() == 1);
}

// Guards against probes that crash more runners than they are worth.
TEST_CASE("isolated part, requests go on for two minutes, crashes at most two more runners", "[forwarding]")
{
    simulated_fleet fleet(20, 12);
    request_source source(fleet);
    source.run(3s, {40, 0});
    source.runUntilCrashes(5, {40, 4});
    source.run(4s, {40, 4});
    const std::size_t before = fleet.crashes().size();
    source.run(120s, {40, 4});
    CHECK(fleet.crashes().size() > before);
    CHECK(fleet.crashes().size() <= before + 2);
}

// Guards against a part that stays refused although it no longer crashes runners.
TEST_CASE("isolated part, answered by a probe, is released at all VMs", "[forwarding]")
{
    simulated_fleet fleet(20, 12);
    request_source source(fleet);
    source.run(3s, {40, 0});
    source.runUntilCrashes(5, {40, 4});
    source.run(4s, {40, 4});
    fleet.setCrashing(false);
    source.run(70s, {40, 4});
    fleet.clearRefusals();
    for (std::size_t vm = 0; vm < fleet.vmCount(); ++vm) {
        fleet.send(vm, simulated_fleet::crashingPart);
    }
    CHECK(fleet.refusals(refusal_reason::prompt_part_isolated).empty());
}

// Guards against crashed runners whose streams look complete, because they have no length and end with the connection.
TEST_CASE("stream, ends without an event, counts as a lost runner", "[forwarding]")
{
    manual_clock clock;
    crash_suspects suspects({&clock, vm_id("vm"), nullptr});
    forward_request request;
    request.prompt = {{simulated_fleet::sharedPart, 100}, {simulated_fleet::crashingPart, 100}, {9, 100}};
    for (attempt_number number = 1; number <= 6; ++number) {
        request.request = request_id("r" + std::to_string(number));
        suspects.attemptStarted(number, request, runner_id("runner-" + std::to_string(number)));
        suspects.headReceived(number);
        suspects.answered(number, true);
        suspects.attemptEnded(number, attempt_end::complete);
        // Another request shows that the shared part is sound.
        forward_request sound = request;
        sound.prompt[1].id = firstSoundPart;
        suspects.attemptStarted(number + 100, sound, runner_id("other"));
        suspects.answered(number + 100, false);
        suspects.attemptEnded(number + 100, attempt_end::complete);
    }
    action_list actions;
    suspects.expire(actions);
    clock.advance(1s);
    suspects.expire(actions);
    CHECK(suspects.isolation(request) == refusal_reason::prompt_part_isolated);
    request.prompt[1].id = firstSoundPart;
    CHECK_FALSE(suspects.isolation(request));
}
