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

/// Identifies an entry that was added to a group_writer.
using entry_ticket = std::uint64_t;

/// Appends entries to one stream in groups, with at most one append in flight.
///
/// An append without a successful answer is retried with the same record id until it is acknowledged or read back.
class group_writer
{
public:
    group_writer(const node_identity &node, std::string stream, append_budget &budget);

    /// Queues an entry for the next group.
    entry_ticket add(log_entry entry, steady_time now);
    /// Removes an entry. Returns false when the entry is being appended, may already be in the log, or is unknown.
    bool withdraw(entry_ticket ticket);

    /// Handles the answers of the log service. Returns the tickets of the entries that are now confirmed to be in the
    /// log.
    std::vector<entry_ticket> handle(const event &event, steady_time now);
    /// Handles records read from the same stream, which confirm appends too. Returns tickets like handle(). Must be
    /// called after the entries of @p batch were processed.
    std::vector<entry_ticket> handleRead(const read_batch &batch);
    /// Adds the append action that is due, if any. Must be called at the end of every event.
    void send(steady_time now, action_list &actions);
    /// Next time at which send() must be called; steady_time::max() when there is none.
    steady_time nextDeadline(steady_time now) const;

    /// Whether no entry is queued or being appended.
    bool isEmpty() const;
    /// Number of entries that are queued or being appended.
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
        /// Whether an append was sent and is not answered yet.
        bool isOutstanding = false;
        /// Whether an append failed without being rejected, so that the group may be in the log.
        bool mayBeInLog = false;
        unsigned failures = 0;
        steady_time retryTime;
    };

    std::vector<entry_ticket> completeGroup();
    bool isGroupDue(steady_time now) const;
    void formGroup(steady_time now);

    node_identity m_node;
    std::string m_stream;
    append_budget &m_budget;
    std::deque<waiting_entry> m_waiting;
    std::size_t m_waitingBytes = 0;
    std::optional<group> m_inFlight;
    entry_ticket m_lastTicket = 0;
    std::uint64_t m_lastRecordNumber = 0;
};

} // namespace crocuslane
