#pragma once

#include "logstream/stream_reader.h"

#include <map>

namespace crocuslane {

/// A lease whose record took effect; the offset of the record is the fencing number.
struct granted_lease {
    log_offset fencing = 0;
    vm_id vm;
    std::uint64_t incarnation = 0;
    std::uint64_t ticket = 0;
    duration length{};
};

/// Determines the newest lease of each duty from the order of the log records alone.
///
/// A lease record names the lease that it replaces, and takes effect only if that is still the newest one. So the first
/// of several competing records in the log wins, and all VMs determine the same holder without comparing clocks.
class lease_ledger
{
public:
    /// When a duty had no record for @p quietPeriod of the log's append time, the next record takes effect whatever it
    /// replaces: the last lease has long expired, and its record may have been removed.
    explicit lease_ledger(duration quietPeriod);

    /// Notes missing records. Call it for each batch before its entries.
    void detectGap(const read_batch &batch);
    /// Applies a lease record; true when the lease took effect.
    bool add(const lease_entry &entry, log_offset offset, system_time appendTime);
    /// Newest lease of the duty; null when it has none or when it is unknown because of missing records.
    const granted_lease *find(const std::string &duty) const;
    /// False while the record of the newest lease may be missing.
    bool isNewestKnown(const std::string &duty) const;

private:
    struct duty_state {
        std::optional<granted_lease> newest;
        bool isNewestKnown = true;
        std::optional<system_time> lastRecordTime;
    };

    duty_state &state(const std::string &duty);

    duration m_quietPeriod;
    std::map<std::string, duty_state> m_duties;
    /// Offset and append time of the first record after the last gap.
    log_offset m_readableFrom = 0;
    std::optional<system_time> m_readableSince;
};

} // namespace crocuslane
