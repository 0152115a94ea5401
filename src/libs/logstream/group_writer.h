#pragma once

#include "base/clock.h"
#include "kernel/action.h"
#include "kernel/event.h"
#include "logrecords/log_entry.h"
#include "logstream/append_budget.h"
#include "logstream/stream_reader.h"

#include <deque>
#include <optional>

namespace crocuslane {

/// Identifies an entry that was given to a group_writer.
using entry_ticket = std::uint64_t;

/// Appends entries to one stream in groups, with one append in flight.
///
/// A group whose answer was lost is sent again with the same id until it was acknowledged or read back.
class group_writer
{
public:
    group_writer(const node_identity &node, std::string stream, append_budget &budget);

    entry_ticket add(log_entry entry, steady_time now);
    /// Takes back an entry; false when it may be in the log, or will be.
    bool withdraw(entry_ticket ticket);

    /// Notes answers of the log service. Returns the tickets of entries that are now known to be in the log.
    std::vector<entry_ticket> handle(const event &event, steady_time now);
    /// Notes what was read back from the same stream. Call it after the entries were used.
    std::vector<entry_ticket> handleRead(const read_batch &batch);
    /// Sends what is due. Call it at the end of every event.
    void send(steady_time now, action_list &actions);
    steady_time nextDeadline(steady_time now) const;

    bool isEmpty() const;
    std::size_t pendingEntries() const;

private:
    struct waiting_entry {
        entry_ticket ticket = 0;
        log_entry content;
        steady_time added;
        std::size_t size = 0;
    };

    struct group {
        std::string recordId;
        std::string payload;
        std::vector<waiting_entry> entries;
        bool isOutstanding = false;
        /// An answer was lost, so that the group may be in the log.
        bool mayBeInLog = false;
        unsigned failures = 0;
        steady_time retryTime;
    };

    std::vector<entry_ticket> complete();
    bool isGroupDue(steady_time now) const;
    void formGroup(steady_time now);

    node_identity m_node;
    std::string m_stream;
    append_budget &m_budget;
    std::deque<waiting_entry> m_waiting;
    std::size_t m_waitingBytes = 0;
    std::optional<group> m_inFlight;
    entry_ticket m_lastTicket = 0;
    std::uint64_t m_lastNumber = 0;
};

} // namespace crocuslane
