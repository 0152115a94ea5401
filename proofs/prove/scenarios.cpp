#include "scenarios.h"

#include <algorithm>

namespace crocuslane {

namespace {

using namespace std::chrono_literals;

// Faults begin after the first configuration is active and before the time without load.
constexpr duration firstFault = 4s;
constexpr duration lastFault = 36s;
constexpr duration activeTime = 45s;
// Longer than the time after which a VM that holds the copy of a bill appends it in place of the restarted origin VM.
constexpr duration settleTime = 45s;
// Shorter than some outages, so that records are removed before some VMs have read them.
constexpr duration shortRetention = 12s;
constexpr std::size_t keyCount = 12;

duration randomDuration(random_source &random, duration low, duration high)
{
    return low + duration(static_cast<duration::rep>(random.unit() * static_cast<double>((high - low).count())));
}

void injectFault(simulated_deployment &deployment, std::size_t &remainingKills)
{
    random_source &random = deployment.random();
    const std::size_t vm = random.below(deployment.vmCount());
    const duration length = randomDuration(random, 1s, 15s);
    switch (random.below(12)) {
    case 0:
        return deployment.failLog(std::nullopt, length);
    case 1:
        return deployment.failLog(vm, length);
    case 2:
        return deployment.loseAnswers(length);
    case 3:
        return deployment.delayAppends(length);
    case 4:
        return deployment.slowReads(length);
    case 5:
        return deployment.pause(vm, length, false);
    case 6:
        return deployment.pause(vm, length, true);
    case 7:
        if (remainingKills > 0) {
            --remainingKills;
            deployment.kill(vm, randomDuration(random, 500ms, 5s));
        }
        return;
    case 8:
        return deployment.cut({vm}, length, random.below(2) == 0);
    case 9:
        return deployment.silence(vm, (vm + 1 + random.below(deployment.vmCount() - 1)) % deployment.vmCount(), length);
    case 10:
        return deployment.failBackends(length);
    default:
        return deployment.freezeVmList(length);
    }
}

void scheduleFaults(simulated_deployment &deployment, std::size_t &remainingKills)
{
    random_source &random = deployment.random();
    const std::size_t count = 3 + random.below(5);
    for (std::size_t index = 0; index < count; ++index) {
        const duration when = randomDuration(random, firstFault, lastFault);
        deployment.at(when, [&deployment, &remainingKills] { injectFault(deployment, remainingKills); });
        if (random.below(2) == 0) {
            // Two faults at almost the same time reveal cases in which one prevents the recovery from the other.
            deployment.at(when + randomDuration(random, 0ms, 200ms),
                          [&deployment, &remainingKills] { injectFault(deployment, remainingKills); });
        }
    }
}

void publishFrom(simulated_deployment &deployment, std::size_t vm, const std::string &state)
{
    deployment.publish(vm, configurationText(state), deployment.versionAt(vm));
}

/// Restarts most of the VMs that confirmed a version while the log is unavailable. Afterwards they reach only VMs that
/// have not received that version.
void scheduleRestartsInOutage(simulated_deployment &deployment)
{
    const duration start = randomDuration(deployment.random(), 8s, 12s);
    deployment.at(start, [&deployment] { deployment.cut({0, 1}, 4s, true); });
    for (const std::size_t vm : {2, 3, 4}) {
        deployment.at(start + 1s + 300ms * static_cast<long>(vm),
                      [&deployment, vm] { publishFrom(deployment, vm, "active"); });
    }
    deployment.at(start + 3800ms, [&deployment] { deployment.failLog(std::nullopt, 20s); });
    deployment.at(start + 3900ms, [&deployment] {
        deployment.kill(3, 500ms);
        deployment.kill(4, 500ms);
    });
    deployment.at(start + 4100ms, [&deployment] { deployment.cut({2}, 18s, false); });
}

void schedulePublications(simulated_deployment &deployment, const scenario &scenario)
{
    random_source &random = deployment.random();
    deployment.at(1s, [&deployment] { publishFrom(deployment, 0, "active"); });
    if (scenario.withdraws) {
        // Repeated, because a publication fails during a log outage.
        const duration first = randomDuration(random, 6s, 15s);
        if (random.below(2) == 0) {
            // Separates a VM from the log and the other VMs just before the withdrawal.
            const std::size_t isolatedVm = random.below(deployment.vmCount());
            deployment.at(first - 500ms, [&deployment, isolatedVm] { deployment.cut({isolatedVm}, 15s, true); });
        }
        for (duration when = first; when < lastFault; when += 3s) {
            const std::size_t vm = random.below(deployment.vmCount());
            deployment.at(when, [&deployment, vm] { publishFrom(deployment, vm, "withdrawn"); });
        }
    }
    if (scenario.republishes) {
        for (duration when = 5s; when < lastFault; when += randomDuration(random, 1s, 5s)) {
            // Two operators publish at the same time.
            for (int operators = 0; operators < 2; ++operators) {
                const std::size_t vm = random.below(deployment.vmCount());
                deployment.at(when, [&deployment, vm] { publishFrom(deployment, vm, "active"); });
            }
        }
    }
}

void scheduleLoad(simulated_deployment &deployment, const scenario &scenario)
{
    random_source &random = deployment.random();
    for (std::size_t index = 0; index < scenario.serviceCalls; ++index) {
        const std::string request = "call" + std::to_string(index);
        const std::string key = std::to_string(random.below(keyCount));
        const std::size_t vm = random.below(deployment.vmCount());
        deployment.at(randomDuration(random, 3s, activeTime),
                      [&deployment, request, key, vm] { deployment.sendServiceCall(request, key, vm); });
    }
    for (std::size_t index = 0; index < scenario.modelRequests; ++index) {
        const std::string request = "ask" + std::to_string(index);
        // A session belongs to one organisation, so the earlier request has an index of the same parity.
        const std::string organisation = index % 2 == 0 ? "alpha" : "beta";
        const std::string earlierRequest = index >= 8 && random.below(2) == 0
            ? "ask" + std::to_string(index - 2 * (1 + random.below(4)))
            : std::string();
        const std::size_t vm = random.below(deployment.vmCount());
        const duration when =
            3s + (activeTime - 3s) * static_cast<long>(index) / static_cast<long>(scenario.modelRequests);
        const std::string requestedVersion = random.below(2) == 0 ? "small@2" : "";
        deployment.at(when, [&deployment, request, organisation, earlierRequest, vm, requestedVersion] {
            deployment.sendModelRequest(request, organisation, earlierRequest, vm, requestedVersion);
        });
    }
}

} // namespace

const std::vector<scenario> &allScenarios()
{
    static const std::vector<scenario> all = [] {
        std::vector<scenario> scenarios;
        const auto add = [&scenarios](std::string name, auto check, auto disableMechanisms) -> scenario & {
            scenario added;
            added.name = std::move(name);
            added.check = check;
            added.disableMechanisms = disableMechanisms;
            scenarios.push_back(added);
            return scenarios.back();
        };
        add("permission", checkPermission, [](deployment_controls &controls) {
            controls.checksPermissions = false;
        }).modelRequests = 60;
        scenario &withdrawal = add("withdrawal", checkWithdrawal, [](deployment_controls &controls) {
            controls.publication.checksFreshness = false;
        });
        withdrawal.vms = 5;
        withdrawal.retention = shortRetention;
        withdrawal.modelRequests = 120;
        withdrawal.withdraws = true;
        scenario &session =
            add("session", checkSession, [](deployment_controls &controls) { controls.keepsSessions = false; });
        session.modelRequests = 60;
        session.withdraws = true;
        scenario &billing = add("billing", checkBilling, [](deployment_controls &controls) {
            controls.billing.waitsForDurability = false;
            controls.billing.ignoresRepeatedRequests = false;
        });
        billing.modelRequests = 60;
        billing.maximumKills = 2;
        add("answers", checkAnswers, [](deployment_controls &controls) {
            controls.separatesAttempts = false;
        }).modelRequests = 80;
        add("refusal", checkRefusal, [](deployment_controls &controls) {
            controls.reportsLostCalls = false;
        }).serviceCalls = 60;
        scenarios.back().modelRequests = 40;
        add("booking", checkBooking, [](deployment_controls &controls) {
            controls.claims.decidesByLogOrder = false;
        }).serviceCalls = 80;
        scenarios.back().retention = 2 * shortRetention;
        scenarios.back().maximumKills = 3;
        scenario &leaving =
            add("leaving", checkLeaving, [](deployment_controls &controls) { controls.announcesLeaving = false; });
        leaving.modelRequests = 80;
        leaving.leaves = true;
        scenario &shutdown =
            add("shutdown", checkShutdown, [](deployment_controls &controls) { controls.drains = false; });
        shutdown.modelRequests = 80;
        shutdown.serviceCalls = 30;
        shutdown.stops = true;
        scenario &configuration = add("configuration", checkConfiguration, [](deployment_controls &controls) {
            controls.publication.comparesVersions = false;
            controls.publication.checksFreshness = false;
        });
        configuration.vms = 5;
        configuration.retention = shortRetention;
        configuration.modelRequests = 80;
        configuration.republishes = true;
        configuration.maximumKills = 3;
        configuration.restartsInOutage = true;
        scenario &leases = add("leases", checkLeases, [](deployment_controls &controls) {
            controls.leases.checksClock = false;
            controls.leases.waitsForExpiry = false;
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
    simulated_deployment::options options;
    options.vms = scenario.vms;
    options.retention = scenario.retention;
    if (isControl) {
        scenario.disableMechanisms(options.controls);
    }
    simulated_deployment deployment(options, seed);
    std::size_t remainingKills = scenario.maximumKills;
    schedulePublications(deployment, scenario);
    scheduleLoad(deployment, scenario);
    if (scenario.restartsInOutage && seed % 3 == 0) {
        scheduleRestartsInOutage(deployment);
    } else {
        scheduleFaults(deployment, remainingKills);
    }
    random_source &random = deployment.random();
    if (scenario.leaves) {
        const std::size_t runner = random.below(3);
        deployment.at(randomDuration(random, 5s, 20s), [&deployment, runner] { deployment.leave(runner); });
    }
    if (scenario.stops) {
        const std::size_t vm = random.below(scenario.vms);
        deployment.at(randomDuration(random, 10s, 30s), [&deployment, vm] { deployment.stop(vm); });
    }
    deployment.run(activeTime + settleTime);
    deployment.finish();
    history_result result;
    result.violations = scenario.check(deployment.observations());
    result.observations = deployment.observations();
    result.events = deployment.events();
    result.faults = deployment.faults();
    result.answers = static_cast<std::uint64_t>(std::count_if(
        deployment.observations().begin(), deployment.observations().end(), [](const observation &observed) {
            return observed.kind == observation_kind::answered;
        }));
    return result;
}

} // namespace crocuslane
