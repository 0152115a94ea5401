#pragma once

#include "kernel/forward_types.h"

#include <optional>

namespace crocuslane {

/// Tells entries of a runner that come from an older copy of the platform's log from newer ones. Within an epoch of the
/// log, each entry is newer than the one before.
class entry_history
{
public:
    enum class age {
        newer,
        /// As stale, and seen for the first time in this epoch.
        first_stale,
        stale,
    };

    /// @p epoch is the one in which the newest entry was read, or was found missing.
    explicit entry_history(log_epoch epoch = 0);

    /// Compares an entry that was listed in @p epoch with the newest one that is known of the runner.
    age compare(const backend_entry &known, const backend_entry &listed, log_epoch epoch);
    /// As compare(), for a runner that is no longer listed. In the first list of an epoch (@p isFirstOfEpoch), a later
    /// sequence doesn't show that the runner lives: it may have reported between the known entry and its end.
    age compareWithGone(const backend_entry &known, const backend_entry &listed, log_epoch epoch, bool isFirstOfEpoch);
    /// Records that an entry of @p epoch has become the newest one, or that the runner was missing in that epoch.
    void replaced(log_epoch epoch);

private:
    struct stale_copy {
        backend_entry entry;
        log_epoch epoch = 0;
    };

    age ageOf(bool isOlder, const backend_entry &known, const backend_entry &listed, log_epoch epoch);
    bool hasStaleCopy(log_epoch epoch) const;
    bool hasReportedSince(const backend_entry &known, const backend_entry &listed, log_epoch epoch) const;

    log_epoch m_epoch;
    std::optional<stale_copy> m_staleCopy;
};

} // namespace crocuslane
