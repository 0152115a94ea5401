#pragma once

#include "enginemodel/engine_model.h"
#include "harness/workload.h"
#include "kernel/kernel.h"

#include <functional>
#include <memory>
#include <queue>

namespace crocuslane {

/// Adds the plug-ins of one entry VM; the plug-in requests is added by the simulation.
using plugin_setup = std::function<void(kernel &, std::size_t vm)>;

/// Result of one request.
struct request_outcome {
    std::size_t kind = 0;
    std::size_t vm = 0;
    duration arrival{};
    /// Times since the arrival; nothing if the first token or the end did not come.
    std::optional<duration> firstToken;
    std::optional<duration> end;
    std::optional<error_code> error;
    std::uint32_t tokens = 0;
    version_id version;
    token_usage usage;
    unsigned attempts = 0;
};

/// Discrete-event simulation of entry VMs, with the router's kernel and plug-ins, in front of engine models on one
/// manual clock. It simulates the HTTP edge, the network and the exchange between the entry VMs.
class simulation
{
public:
    simulation(const deployment_parameters &deployment,
               const workload_parameters &workload,
               const plugin_setup &setup,
               std::uint64_t seed);
    ~simulation();
    simulation(const simulation &) = delete;
    simulation &operator=(const simulation &) = delete;

    /// Runs the requests until @p length has passed; call it once.
    void run(const std::vector<simulated_request> &requests, duration length);
    /// Schedules a change at @p time since the start. Call it before run().
    void at(duration time, std::function<void()> change);

    /// Simulates a crash of the runner's process: open connections break and new ones are refused.
    void failRunner(std::size_t runner);
    void recoverRunner(std::size_t runner);

    /// Drops all messages between an entry VM and the other entry VMs; neither side is notified of it.
    void isolateVm(std::size_t vm);
    void reconnectVm(std::size_t vm);

    engine_model &engine(std::size_t runner);
    kernel &vm(std::size_t vm);
    std::size_t runnerCount() const;
    std::size_t vmCount() const;
    duration elapsed() const;
    /// In the order of the requests passed to run().
    const std::vector<request_outcome> &outcomes() const;
    /// Number of tokens sent to callers.
    std::uint64_t deliveredTokens() const;
    std::uint64_t attemptsStarted() const;
    /// Bytes of prompts and tokens of attempts at runners of another region.
    std::uint64_t bytesBetweenRegions() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// The plug-in routing with a fixed order of versions.
plugin_setup productSetup(const workload_parameters &workload, const std::vector<version_id> &versions);

/// Latencies in seconds, from arrival to the end of the answer, of the requests that match @p predicate. A request
/// without an answer counts as @p unansweredSeconds.
std::vector<double> latencies(const simulation &run,
                              const std::function<bool(const request_outcome &)> &predicate,
                              double unansweredSeconds);

/// Tokens generated and prefilled beyond those that the answers needed, as a share of those needed. Prefilled tokens
/// are weighted by their lower cost.
double extraWork(const simulation &run);

} // namespace crocuslane
