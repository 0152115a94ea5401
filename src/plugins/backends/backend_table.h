#pragma once

#include "kernel/action.h"
#include "kernel/event.h"
#include "plugins/backends/failure_record.h"
#include "plugins/backends/prompt_cache.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace crocuslane {

/// Work of one attempt at a runner, as this VM counts it.
struct attempt_load {
    runner_id runner;
    /// Prompt and answer in the runner's memory.
    std::uint64_t memoryTokens = 0;
    /// Prompt tokens that the runner has to read before the first event, and the time that it should take.
    std::uint64_t unreadTokens = 0;
    duration unreadTime{};
    std::string model;
    steady_time startedAt;
    bool hasFirstEvent = false;
};

/// What this VM knows of one runner.
struct backend_record {
    backend_entry entry;
    /// Vanished from the list while the list was disturbed; dropped at this time unless it returns.
    std::optional<steady_time> vanishesAt;
    unsigned running = 0;
    std::uint64_t memoryTokens = 0;
    /// Time to read the prompts of the requests of this VM that wait for their first event.
    duration unreadTime{};
    /// Requests of other VMs, by VM.
    std::map<vm_id, unsigned> remote;
    std::optional<reported_load> load;
    steady_time loadAt;
    /// Own requests in progress when the load was stated.
    unsigned runningAtLoad = 0;
    failure_record failures;
    prompt_cache prompts;

    unsigned remoteRunning() const;
    /// Requests at the runner by whichever of statement and counts says more.
    unsigned estimatedRunning(steady_time now) const;
    double slowness(steady_time now) const;
};

/// Runners that the platform lists, with their load as far as it is known here.
class backend_table
{
public:
    /// Takes a new list. @p log gets a line for each runner that came, changed or went.
    void applyList(const backend_list_read &list, steady_time now, action_list &log);
    /// Drops runners whose time has come.
    void expire(steady_time now, action_list &log);
    steady_time nextExpiry() const;

    std::vector<backend_record *> ofService(const service_id &service);
    backend_record *find(const runner_id &runner);
    std::size_t size() const;

    void attemptStarted(attempt_number attempt, const attempt_load &load);
    /// The attempt, null when it had its first event before or has ended.
    const attempt_load *firstEvent(attempt_number attempt);
    /// The runner of the attempt, null when it is gone.
    backend_record *attemptEnded(attempt_number attempt);
    const std::unordered_map<runner_id, backend_record> &states() const;
    std::unordered_map<runner_id, backend_record> &states();

private:
    void update(backend_record &state, const backend_entry &entry, action_list &log);
    void add(const backend_entry &entry, action_list &log);

    std::unordered_map<runner_id, backend_record> m_states;
    std::unordered_map<attempt_number, attempt_load> m_attempts;
};

} // namespace crocuslane
