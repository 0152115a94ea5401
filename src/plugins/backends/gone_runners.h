#pragma once

#include "plugins/backends/entry_history.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace crocuslane {

/// The newest entries of runners that are no longer listed, for a limited time and number.
class gone_runners
{
public:
    /// @p epoch is that of the list without the runner.
    void add(const backend_entry &entry, log_epoch epoch, steady_time now);
    void remove(const runner_id &runner);
    /// Compares a listed entry with the one of the gone runner. @p isFirstOfEpoch tells that the list is the first one
    /// of its epoch of the log.
    entry_history::age compare(const backend_entry &listed, log_epoch epoch, bool isFirstOfEpoch);
    void expire(steady_time now);

private:
    struct gone_runner {
        backend_entry entry;
        entry_history history;
        steady_time goneAt;
        std::uint64_t number = 0;
    };

    std::unordered_map<runner_id, gone_runner> m_runners;
    /// By number, the oldest first.
    std::map<std::uint64_t, runner_id> m_order;
    std::uint64_t m_nextNumber = 0;
};

} // namespace crocuslane
