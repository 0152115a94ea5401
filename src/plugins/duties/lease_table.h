#pragma once

#include "kernel/plugin.h"
#include "logstream/group_writer.h"
#include "plugins/duties/lease_ledger.h"

#include <memory>

namespace crocuslane {

/// Switches a mechanism off in controls of proofs; no setting of a daemon leads here.
struct lease_controls {
    /// False: a holder relies on its timer and doesn't compare the clock at each use.
    bool checksClock = true;
    /// False: applicants don't wait for the end of another VM's lease.
    bool waitsForExpiry = true;
};

/// Competes for duties on the log and knows which this VM holds.
class lease_table
{
public:
    lease_table(plugin_context &context, lease_controls controls);

    void apply(const std::string &duty);
    std::optional<log_offset> fencing(const std::string &duty) const;
    void start(action_list &actions) const;
    void handle(const event &event, action_list &actions);
    steady_time nextDeadline() const;
    bool isIdle() const;
    /// Name of the holder for display; empty when not known.
    std::string holder(const std::string &duty) const;
    std::vector<std::string> duties() const;

private:
    struct duty_application {
        /// Number of the record that is under way.
        std::optional<std::uint64_t> pending;
        entry_ticket pendingEntry = 0;
        steady_time pendingSince;
        /// Set while this VM has the newest lease.
        std::optional<log_offset> fencing;
        steady_time heldUntil;
        steady_time renewTime;
        /// When a lease of another VM has certainly ended, by the own clock.
        steady_time freeTime;
        bool isAnnounced = false;
        bool isReleased = false;
    };

    void read(const read_entry &entry);
    void takeOver(duty_application &application, const lease_entry &entry, log_offset offset);
    void pursue(const std::string &duty, duty_application &application);
    void append(const std::string &duty, duty_application &application, log_offset replaces, duration length);
    void release(const std::string &duty, duty_application &application);
    void announce();
    bool isHeld(const duty_application &application) const;

    plugin_context &m_context;
    lease_controls m_controls;
    stream_reader m_reader;
    group_writer m_writer;
    lease_ledger m_ledger;
    std::map<std::string, duty_application> m_applications;
    std::uint64_t m_lastTicket = 0;
    bool m_isStopping = false;
    steady_time m_nextTick;
};

} // namespace crocuslane
