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

/// What became of one request.
struct request_outcome {
    std::size_t kind = 0;
    std::size_t vm = 0;
    duration arrival{};
    /// Since arrival; nothing when it never came.
    std::optional<duration> firstToken;
    std::optional<duration> end;
    std::optional<error_code> error;
    std::uint32_t tokens = 0;
    version_id version;
    token_usage usage;
    unsigned attempts = 0;
};

/// Entry VMs with the product's kernel and plug-ins in front of engine models, on one manual clock. It plays the parts
/// of the edge, the network and the exchange between the entry VMs.
class simulation
{
public:
    simulation(const deployment &deployment,
               const workload_parameters &workload,
               const plugin_setup &setup,
               std::uint64_t seed);
    ~simulation();
    simulation(const simulation &) = delete;
    simulation &operator=(const simulation &) = delete;

    /// Runs all requests that arrive, and then on until @p length is over. Called once.
    void run(const std::vector<simulated_request> &requests, duration length);
    /// Carried out at a time since the start; before run().
    void at(duration time, std::function<void()> change);

    /// The runner's process dies: its connections break, and new ones are refused.
    void failRunner(std::size_t runner);
    void recoverRunner(std::size_t runner);

    /// Cuts an entry VM off from the other entry VMs, without a word to either side.
    void cutVm(std::size_t vm);
    void reconnectVm(std::size_t vm);

    engine_model &engine(std::size_t runner);
    kernel &vm(std::size_t vm);
    std::size_t runnerCount() const;
    std::size_t vmCount() const;
    duration elapsed() const;
    /// In the order of the requests passed to run().
    const std::vector<request_outcome> &outcomes() const;
    /// Tokens passed to callers.
    std::uint64_t deliveredTokens() const;
    std::uint64_t attemptsStarted() const;
    /// Prompts and tokens of attempts at runners of another region.
    std::uint64_t bytesBetweenRegions() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// The product's own choice of a runner with fixed versions.
plugin_setup productSetup(const workload_parameters &workload, const std::vector<version_id> &versions);

/// Latencies in seconds of whole answers of the requests for which @p isWanted holds; a request without an answer
/// counts with @p missing.
std::vector<double>
latencies(const simulation &run, const std::function<bool(const request_outcome &)> &isWanted, double missing);

/// Generated and read tokens beyond what the answers needed, as a share of those needed.
double extraWork(const simulation &run);

} // namespace crocuslane
