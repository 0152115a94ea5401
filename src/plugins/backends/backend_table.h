#pragma once

#include "kernel/action.h"
#include "kernel/event.h"
#include "kernel/runner_key.h"
#include "plugins/backends/entry_history.h"
#include "plugins/backends/failure_record.h"
#include "plugins/backends/gone_runners.h"
#include "plugins/backends/leaving_runners.h"
#include "plugins/backends/prompt_cache.h"
#include "plugins/backends/remote_use_history.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace crocuslane {

/// Work that one attempt causes at a runner, as this VM estimates it.
struct attempt_load {
    runner_id runner;
    service_id service = {};
    /// The process of the runner that was listed when the attempt started.
    runner_key process = 0;
    /// Tokens of prompt and answer in the runner's KV cache.
    std::uint64_t memoryTokens = 0;
    /// Prompt tokens that the runner has to prefill before its answer begins, and the expected time for that.
    std::uint64_t prefillTokens = 0;
    duration prefillTime{};
    std::string model;
    steady_time startedAt;
    bool hasAnswerBegun = false;
};

/// One runner with its load, failures and cached prompts as observed by this VM.
struct backend_record {
    backend_entry entry;
    entry_history history;
    /// Set when the runner is missing from the list: it is removed at this time unless it is listed again.
    std::optional<steady_time> removeAt;
    /// Requests of this VM in progress.
    unsigned localRunning = 0;
    std::uint64_t memoryTokens = 0;
    /// Time to prefill the prompts of this VM's requests whose answers have not begun.
    duration prefillTime{};
    /// Requests of other VMs in progress.
    std::map<vm_id, unsigned> remoteRunningByVm;
    remote_use_history remoteUse;
    std::optional<reported_load> load;
    steady_time loadReceivedAt;
    /// Value of localRunning when the load report was received.
    unsigned localRunningAtLoad = 0;
    failure_record failures;
    prompt_cache prompts;
    /// The process has stated in an answer that it leaves, whatever the list says.
    bool statesLeaving = false;

    /// The process that is listed.
    runner_key process() const;
    /// By the list or by its own statement.
    bool isLeaving() const;
    unsigned remoteRunning() const;
    /// Requests in progress at the runner: the larger of the VMs' own counts and the number from the runner's recent
    /// load report, corrected by the requests that this VM started or ended since.
    unsigned estimatedRunning(steady_time now) const;
    /// Time that work takes now relative to its usual time; 1 without a recent load report.
    double slowdownFactor(steady_time now) const;
};

/// Runners that the platform lists, with the attempts of this VM in progress at them.
class backend_table
{
public:
    /// Applies a new list and adds to @p log an entry for each runner that was added, changed or removed. A ready
    /// runner that is missing is kept until list.removalsIgnoredUntil; a leaving one is removed at once. Entries from
    /// an older copy of the platform's log are ignored where a newer one is known.
    void applyList(const backend_list_read &list, steady_time now, action_list &log);
    /// Removes the missing runners whose removal time has passed.
    void expire(steady_time now, action_list &log);
    steady_time nextExpiry() const;

    /// The runners of a service that accept new requests.
    std::vector<backend_record *> findReady(const service_id &service);
    backend_record *find(const runner_id &runner);
    std::size_t size() const;

    /// Records what the runner of an attempt states of its leaving. Returns true when it gets no requests from now on.
    bool noteLeaving(attempt_number attempt, const stated_leaving &stated, steady_time now, action_list &log);
    /// Number of processes that have stated that they leave.
    std::size_t leavingCount() const;

    void attemptStarted(attempt_number attempt, const attempt_load &load);
    /// Records that the answer of an attempt has begun and returns the attempt's load; null when this was recorded
    /// before or the attempt has ended.
    const attempt_load *answerBegan(attempt_number attempt);
    /// Null when the attempt has ended.
    const attempt_load *findAttempt(attempt_number attempt) const;
    /// Subtracts the attempt's load and returns its runner; null when the runner was removed or the attempt has ended
    /// before.
    backend_record *attemptEnded(attempt_number attempt);
    const std::unordered_map<runner_id, backend_record> &backends() const;
    std::unordered_map<runner_id, backend_record> &backends();

private:
    static entry_history::age
    ageOf(backend_record &record, const backend_entry &listed, log_epoch epoch, bool isFirstOfEpoch);
    /// Whether a newer entry is known of the runner.
    bool isStale(const backend_entry &entry, log_epoch epoch, bool isFirstOfEpoch, action_list &log);
    /// Keeps a runner that is missing until that time at least.
    void keepMissing(const runner_id &runner, steady_time until);
    void addOrUpdate(const backend_entry &entry, log_epoch epoch, action_list &log);
    void update(backend_record &record, const backend_entry &entry, action_list &log);
    void add(const backend_entry &entry, action_list &log);
    void applyStatements(steady_time now);

    std::unordered_map<runner_id, backend_record> m_backends;
    gone_runners m_gone;
    leaving_runners m_leaving;
    /// Of the newest list.
    log_epoch m_epoch = 0;
    std::unordered_map<attempt_number, attempt_load> m_attempts;
};

} // namespace crocuslane
