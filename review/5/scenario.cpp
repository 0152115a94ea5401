#include "../standin/standin.h"

#include <csignal>
#include <iostream>

using namespace standin;

namespace {

constexpr const char *configuration = R"({"version":1,"routes":[
 {"name":"look","host":"review.example","path_prefix":"/look/","route_kind":"idempotent","timeout_ms":4000,
  "slo_ms":400,"priority":2,"service":"desk","max_attempts":2,"anonymous":false}],
 "services":[{"name":"desk","max_conns":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"farm","api_keys":["key-1"]}]})";

constexpr int vmCount = 3;
constexpr int runnersPerVersion = 2;
constexpr int clientCount = 6;
constexpr milliseconds clientPause{50};
// The duration of the site's roll-outs.
constexpr std::chrono::seconds orderTime{16};
// The platform kills a process that runs longer after SIGTERM.
constexpr std::chrono::seconds graceTime{8};
constexpr std::chrono::seconds startTime{15};

/// Orders a roll-out as the operator does. True when the status is "completed" for it within the time of the order.
bool rollOut(store &platform,
             std::vector<std::unique_ptr<runner>> &runners,
             const std::string &target,
             recorder &record)
{
    for (const auto &each : runners) {
        if (each->version() == target) {
            each->announce();
        }
    }
    record.write("operator: ordered the roll-out to " + target + " within " + std::to_string(orderTime.count()) + " s");
    platform.put("keyed.op",
                 "rollout/desk",
                 R"({"service":"desk","target":")" + target + R"(","duration_s":)" + std::to_string(orderTime.count())
                     + "}");
    const bool isCompleted = waitFor(
        [&] {
            const std::string status = platform.newest("keyed.status", "rollout/desk");
            return status.find('"' + target + '"') != std::string::npos
                && status.find("\"completed\"") != std::string::npos;
        },
        orderTime);
    record.write("operator: the roll-out to " + target + (isCompleted ? " is completed" : " isn't completed in time")
                 + "; status/rollout/desk is " + platform.newest("keyed.status", "rollout/desk"));
    return isCompleted;
}

/// Stops and starts the processes in turn.
bool restartInTurn(const std::vector<std::unique_ptr<router_process>> &vms)
{
    for (const auto &vm : vms) {
        vm->signal(SIGTERM);
        if (!vm->waitForEnd(graceTime)) {
            vm->signal(SIGKILL);
            vm->waitForEnd(graceTime);
        }
        vm->start();
        if (!waitFor([&vm] { return vm->isReady(); }, startTime)) {
            return false;
        }
    }
    return true;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const std::optional<scenario_options> options = readOptions(argumentCount, arguments);
    if (!options) {
        return not_run;
    }
    recorder record(options->recordPath);
    store platform(record);
    platform.put("keyed.op", "config", configuration);
    std::vector<std::unique_ptr<runner>> runners;
    for (const std::string version : {"v1", "v2", "v3"}) {
        for (int number = 0; number < runnersPerVersion; ++number) {
            runners.push_back(std::make_unique<runner>(
                "i-" + version + "-" + std::to_string(number), "desk", version, platform, record));
        }
    }
    for (const auto &each : runners) {
        if (each->version() == "v1") {
            each->announce();
        }
    }
    std::vector<std::unique_ptr<router_process>> vms;
    vms.reserve(vmCount);
    for (int number = 1; number <= vmCount; ++number) {
        vms.push_back(
            std::make_unique<router_process>(options->process("edge-" + std::to_string(number), platform), record));
        vms.back()->start();
    }
    for (const auto &vm : vms) {
        if (!waitFor([&vm] { return vm->isReady(); }, startTime)) {
            return not_run;
        }
    }

    std::atomic<bool> isOver = false;
    std::atomic<int> served = 0;
    std::vector<std::thread> clients;
    clients.reserve(clientCount);
    for (int client = 0; client < clientCount; ++client) {
        clients.emplace_back([&, client] {
            for (int number = 0; !isOver; ++number) {
                const auto &vm = vms[static_cast<std::size_t>(client + number) % vms.size()];
                client_request request;
                request.address = vm->frontAddress();
                request.path = "/look/1";
                request.attemptId = "look-" + std::to_string(client) + "-" + std::to_string(number);
                served += send(request, record).status == 200 ? 1 : 0;
                std::this_thread::sleep_for(clientPause);
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    verdict result = not_run;
    // The first roll-out is completed in any case; without it the second one would show nothing.
    if (rollOut(platform, runners, "v2", record)) {
        for (const auto &each : runners) {
            if (each->version() == "v1") {
                each->withdraw();
            }
        }
        if (!options->hasTrouble || restartInTurn(vms)) {
            std::this_thread::sleep_for(std::chrono::seconds(2));
            result = rollOut(platform, runners, "v3", record) ? held : broken;
        }
    }
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    const std::string text = std::string(result == broken ? "Duty broken: " : "Duty held: ")
        + "the second roll-out, of a good version, is " + (result == broken ? "not " : "")
        + "completed by its deadline; " + std::to_string(served.load()) + " requests were served";
    if (result != not_run) {
        record.write(text);
        std::cout << text << "\n";
    }
    return result;
}
