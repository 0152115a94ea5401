#pragma once

#include "logstream/stream_reader.h"

#include <map>

namespace crocuslane {

/// The newest lease of a duty; its offset is the fencing number.
struct known_lease {
    log_offset fencing = 0;
    vm_id vm;
    std::uint64_t incarnation = 0;
    std::uint64_t ticket = 0;
    duration length{};
};

/// Leases as decided by log order alone.
///
/// A lease record names the lease that it follows and takes effect when that is the newest one, so that of several
/// applicants the first in the log wins, and every VM reads the same holder without comparing clocks.
class lease_ledger
{
public:
    /// After no record of a duty for @p quietTime of the log's time, a record takes effect whatever it follows: the
    /// last lease has long ended, and its record may have been removed.
    explicit lease_ledger(duration quietTime);

    void noteBatch(const read_batch &batch);
    /// True when the lease took effect.
    bool add(const lease_entry &entry, log_offset offset, system_time appendTime);
    /// Null when the duty has no lease, or none that can be known.
    const known_lease *find(const std::string &duty) const;
    /// False while records that tell the newest lease may be missing.
    bool isKnown(const std::string &duty) const;

private:
    struct duty_state {
        std::optional<known_lease> newest;
        bool isKnown = true;
        std::optional<system_time> lastRecord;
    };

    duty_state &state(const std::string &duty);

    duration m_quietTime;
    std::map<std::string, duty_state> m_duties;
    /// Offset and append time from which on all records were read, once some were missed.
    log_offset m_readableFrom = 0;
    std::optional<system_time> m_readableSince;
};

} // namespace crocuslane
