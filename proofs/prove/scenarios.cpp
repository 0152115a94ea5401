#include "scenarios.h"

#include <algorithm>

namespace crocuslane {

namespace {

using namespace std::chrono_literals;

// Faults begin after the first version is in force and end before the settling time.
constexpr duration firstFault = 4s;
constexpr duration lastFault = 36s;
constexpr duration activeTime = 45s;
// Longer than a holder waits before it appends the bill of an origin that restarted.
constexpr duration settleTime = 45s;
// Shorter than some outages, so that VMs return to a log whose records they missed.
constexpr duration shortRetention = 12s;
constexpr std::size_t keyPool = 12;

duration between(random_source &random, duration low, duration high)
{
    return low + duration(static_cast<duration::rep>(random.unit() * static_cast<double>((high - low).count())));
}

void injectFault(world &world, std::size_t &killsLeft)
{
    random_source &random = world.random();
    const std::size_t vm = random.below(world.vmCount());
    const duration length = between(random, 1s, 15s);
    switch (random.below(12)) {
    case 0:
        return world.failLog(std::nullopt, length);
    case 1:
        return world.failLog(vm, length);
    case 2:
        return world.loseAnswers(length);
    case 3:
        return world.delayAppends(length);
    case 4:
        return world.slowReads(length);
    case 5:
        return world.pause(vm, length, false);
    case 6:
        return world.pause(vm, length, true);
    case 7:
        if (killsLeft > 0) {
            --killsLeft;
            world.kill(vm, between(random, 500ms, 5s));
        }
        return;
    case 8:
        return world.cut({vm}, length, random.below(2) == 0);
    case 9:
        return world.silence(vm, (vm + 1 + random.below(world.vmCount() - 1)) % world.vmCount(), length);
    case 10:
        return world.failBackends(length);
    default:
        return world.freezeVmList(length);
    }
}

void scheduleFaults(world &world, std::size_t &killsLeft)
{
    random_source &random = world.random();
    const std::size_t count = 3 + random.below(5);
    for (std::size_t index = 0; index < count; ++index) {
        const duration when = between(random, firstFault, lastFault);
        world.at(when, [&world, &killsLeft] { injectFault(world, killsLeft); });
        if (random.below(2) == 0) {
            // Simultaneous pairs show faults that hide each other's remedy.
            world.at(when + between(random, 0ms, 200ms), [&world, &killsLeft] { injectFault(world, killsLeft); });
        }
    }
}

void publishFrom(world &world, std::size_t vm, const std::string &state)
{
    world.publish(vm, configurationText(state), world.versionAt(vm));
}

/// Most of the VMs that confirmed a version restart while the log is down, and meet only VMs that never heard of it.
void scheduleRestartsInOutage(world &world)
{
    const duration start = between(world.random(), 8s, 12s);
    world.at(start, [&world] { world.cut({0, 1}, 4s, true); });
    for (const std::size_t vm : {2, 3, 4}) {
        world.at(start + 1s + 300ms * static_cast<long>(vm), [&world, vm] { publishFrom(world, vm, "active"); });
    }
    world.at(start + 3800ms, [&world] { world.failLog(std::nullopt, 20s); });
    world.at(start + 3900ms, [&world] {
        world.kill(3, 500ms);
        world.kill(4, 500ms);
    });
    world.at(start + 4100ms, [&world] { world.cut({2}, 18s, false); });
}

void schedulePublications(world &world, const scenario &scenario)
{
    random_source &random = world.random();
    world.at(1s, [&world] { publishFrom(world, 0, "active"); });
    if (scenario.withdraws) {
        // Several tries, because a publication may meet a log outage.
        const duration first = between(random, 6s, 15s);
        if (random.below(2) == 0) {
            // A VM that hears neither the log nor the others from just before the withdrawal.
            const std::size_t cutOff = random.below(world.vmCount());
            world.at(first - 500ms, [&world, cutOff] { world.cut({cutOff}, 15s, true); });
        }
        for (duration when = first; when < lastFault; when += 3s) {
            const std::size_t vm = random.below(world.vmCount());
            world.at(when, [&world, vm] { publishFrom(world, vm, "withdrawn"); });
        }
    }
    if (scenario.republishes) {
        for (duration when = 5s; when < lastFault; when += between(random, 1s, 5s)) {
            // Two operators at the same time.
            for (int operators = 0; operators < 2; ++operators) {
                const std::size_t vm = random.below(world.vmCount());
                world.at(when, [&world, vm] { publishFrom(world, vm, "active"); });
            }
        }
    }
}

void scheduleLoad(world &world, const scenario &scenario)
{
    random_source &random = world.random();
    for (std::size_t index = 0; index < scenario.calls; ++index) {
        const std::string request = "call" + std::to_string(index);
        const std::string key = std::to_string(random.below(keyPool));
        const std::size_t vm = random.below(world.vmCount());
        world.at(between(random, 3s, activeTime), [&world, request, key, vm] { world.call(request, key, vm); });
    }
    for (std::size_t index = 0; index < scenario.questions; ++index) {
        const std::string request = "ask" + std::to_string(index);
        // A session belongs to one organisation, so the earlier request has the same parity.
        const std::string organisation = index % 2 == 0 ? "alpha" : "beta";
        const std::string earlier = index >= 8 && random.below(2) == 0
            ? "ask" + std::to_string(index - 2 * (1 + random.below(4)))
            : std::string();
        const std::size_t vm = random.below(world.vmCount());
        const duration when = 3s + (activeTime - 3s) * static_cast<long>(index) / static_cast<long>(scenario.questions);
        const std::string wanted = random.below(2) == 0 ? "small@2" : "";
        world.at(when, [&world, request, organisation, earlier, vm, wanted] {
            world.ask(request, organisation, earlier, vm, wanted);
        });
    }
}

} // namespace

const std::vector<scenario> &allScenarios()
{
    static const std::vector<scenario> all = [] {
        std::vector<scenario> scenarios;
        const auto add = [&scenarios](std::string name, auto check, auto switchOff) -> scenario & {
            scenario added;
            added.name = std::move(name);
            added.check = check;
            added.switchOff = switchOff;
            scenarios.push_back(added);
            return scenarios.back();
        };
        add("permission", checkPermission, [](world_controls &off) { off.checksRights = false; }).questions = 60;
        scenario &withdrawal =
            add("withdrawal", checkWithdrawal, [](world_controls &off) { off.publication.checksFreshness = false; });
        withdrawal.vms = 5;
        withdrawal.retention = shortRetention;
        withdrawal.questions = 120;
        withdrawal.withdraws = true;
        scenario &session = add("session", checkSession, [](world_controls &off) { off.keepsSessions = false; });
        session.questions = 60;
        session.withdraws = true;
        scenario &billing = add("billing", checkBilling, [](world_controls &off) {
            off.billing.waitsForDurability = false;
            off.billing.ignoresRepeatedRequests = false;
        });
        billing.questions = 60;
        billing.maximumKills = 2;
        add("answers", checkAnswers, [](world_controls &off) { off.separatesAttempts = false; }).questions = 80;
        add("refusal", checkRefusal, [](world_controls &off) { off.reportsLostCalls = false; }).calls = 60;
        scenarios.back().questions = 40;
        add("booking", checkBooking, [](world_controls &off) { off.claims.decidesByLogOrder = false; }).calls = 80;
        scenarios.back().retention = 2 * shortRetention;
        scenarios.back().maximumKills = 3;
        scenario &leaving = add("leaving", checkLeaving, [](world_controls &off) { off.showsLeaving = false; });
        leaving.questions = 80;
        leaving.leaves = true;
        scenario &shutdown = add("shutdown", checkShutdown, [](world_controls &off) { off.drains = false; });
        shutdown.questions = 80;
        shutdown.calls = 30;
        shutdown.stops = true;
        scenario &configuration = add("configuration", checkConfiguration, [](world_controls &off) {
            off.publication.comparesVersions = false;
            off.publication.checksFreshness = false;
        });
        configuration.vms = 5;
        configuration.retention = shortRetention;
        configuration.questions = 80;
        configuration.republishes = true;
        configuration.maximumKills = 3;
        configuration.restartsInOutage = true;
        scenario &leases = add("leases", checkLeases, [](world_controls &off) {
            off.leases.checksClock = false;
            off.leases.waitsForExpiry = false;
        });
        leases.maximumKills = 3;
        leases.retention = shortRetention;
        leases.isInvariant = false;
        return scenarios;
    }();
    return all;
}

history_result runHistory(const scenario &scenario, std::uint64_t seed, bool isControl)
{
    world::options options;
    options.vms = scenario.vms;
    options.retention = scenario.retention;
    if (isControl) {
        scenario.switchOff(options.controls);
    }
    world world(options, seed);
    std::size_t killsLeft = scenario.maximumKills;
    schedulePublications(world, scenario);
    scheduleLoad(world, scenario);
    if (scenario.restartsInOutage && seed % 3 == 0) {
        scheduleRestartsInOutage(world);
    } else {
        scheduleFaults(world, killsLeft);
    }
    random_source &random = world.random();
    if (scenario.leaves) {
        const std::size_t runner = random.below(3);
        world.at(between(random, 5s, 20s), [&world, runner] { world.leave(runner); });
    }
    if (scenario.stops) {
        const std::size_t vm = random.below(scenario.vms);
        world.at(between(random, 10s, 30s), [&world, vm] { world.stop(vm); });
    }
    world.run(activeTime + settleTime);
    world.finish();
    history_result result;
    result.violations = scenario.check(world.observations());
    result.observations = world.observations();
    result.events = world.events();
    result.faults = world.faults();
    result.answers = static_cast<std::uint64_t>(
        std::count_if(world.observations().begin(), world.observations().end(), [](const observation &seen) {
            return seen.kind == observation_kind::answered;
        }));
    return result;
}

} // namespace crocuslane
