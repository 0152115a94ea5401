#pragma once

#include "kernel/plugin.h"
#include "logstream/group_writer.h"
#include "plugins/duties/lease_ledger.h"

#include <memory>

namespace crocuslane {

/// Disables single mechanisms, so that the proof program can show that its checks detect their absence. No setting of
/// the daemon changes these values.
struct lease_controls {
    /// False: a holder relies on its timer instead of comparing the clock at each use.
    bool checksClock = true;
    /// False: a VM requests a lease without waiting for the end of another VM's lease.
    bool waitsForExpiry = true;
};

/// Requests, renews and releases the leases of duties for this VM, through records in the log.
class lease_manager
{
public:
    lease_manager(plugin_context &context, lease_controls controls);

    /// Starts to compete for the lease of a duty.
    void requestLease(const std::string &duty);
    /// Fencing number while this VM holds the lease, nothing otherwise.
    std::optional<log_offset> fencing(const std::string &duty) const;
    void start(action_list &actions) const;
    void handle(const event &event, action_list &actions);
    steady_time nextDeadline() const;
    bool isIdle() const;
    /// Name of the holder for display; empty when unknown.
    std::string holder(const std::string &duty) const;
    std::vector<std::string> duties() const;

private:
    /// The lease of this VM for one duty, or its attempt to get it.
    struct own_lease {
        /// Ticket in the lease record that was sent and not read back yet.
        std::optional<std::uint64_t> pendingTicket;
        /// Ticket of the same record at the group_writer.
        entry_ticket pendingEntryTicket = 0;
        /// Time before the pending record was sent.
        steady_time pendingSince;
        /// Set while this VM has the newest lease.
        std::optional<log_offset> fencing;
        steady_time expiryTime;
        steady_time renewTime;
        /// Time, by the own clock, at which the lease of another VM has certainly ended.
        steady_time earliestRequestTime;
        /// Value of the last duty_changed event.
        bool isAnnouncedAsHeld = false;
        bool isReleased = false;
    };

    void handleEntry(const read_entry &entry);
    void applyOwnRecord(own_lease &lease, const lease_entry &entry, log_offset offset);
    void maintain(const std::string &duty, own_lease &lease);
    void appendRecord(const std::string &duty, own_lease &lease, log_offset replaces, duration length);
    void release(const std::string &duty, own_lease &lease);
    void announceChanges();
    bool isHeld(const own_lease &lease) const;

    plugin_context &m_context;
    lease_controls m_controls;
    stream_reader m_reader;
    group_writer m_writer;
    lease_ledger m_ledger;
    std::map<std::string, own_lease> m_ownLeases;
    std::uint64_t m_lastTicket = 0;
    bool m_isStopping = false;
    steady_time m_nextTick;
};

} // namespace crocuslane
