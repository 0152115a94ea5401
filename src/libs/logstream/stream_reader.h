#pragma once

#include "kernel/action.h"
#include "kernel/event.h"
#include "logrecords/log_entry.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_set>

namespace crocuslane {

/// One entry with its place in the log. Entries of one record share the offset.
struct read_entry {
    log_offset offset = 0;
    std::string recordId;
    system_time appendTime;
    log_entry content;
};

/// What one read of a stream brought.
struct read_batch {
    /// In log order, each record id once.
    std::vector<read_entry> entries;
    /// Ids of all records of the read, repeated ones included.
    std::vector<std::string> recordIds;
    /// Retention removed records before they were read: those before the entries of this batch are missing.
    bool hasGap = false;
    /// First offset that was readable after the gap.
    log_offset readableFrom = 0;
    /// Append time of the first record after the gap; records that are missing are not younger.
    std::optional<system_time> appendTimeAfterGap;
    /// Nothing was in the log after this batch when the read was asked for.
    bool isAtEnd = false;
};

/// Reads one stream; a record whose id was seen before is ignored, so that a repeated append has no effect.
class stream_reader
{
public:
    /// @p ignoresRepeatedIds is false in controls of proofs only.
    explicit stream_reader(std::string stream, bool ignoresRepeatedIds = true);

    const std::string &stream() const;
    void follow(action_list &actions) const;
    /// Nothing for events that don't bring records of this stream.
    std::optional<read_batch> handle(const event &event);

    /// Whether the log service answered the last query.
    bool isReachable() const;
    /// Everything appended before this time was read; nothing until the end was read once.
    std::optional<steady_time> endReadTime() const;
    /// The next offset to read.
    log_offset position() const;
    std::uint64_t unreadableRecords() const;

private:
    bool isRepeated(const std::string &recordId);
    void read(const log_record &record, read_batch &batch);

    std::string m_stream;
    bool m_ignoresRepeatedIds;
    bool m_isReachable = true;
    log_offset m_position = 0;
    std::optional<steady_time> m_endReadTime;
    std::uint64_t m_unreadableRecords = 0;
    /// Highest record number seen per writing process.
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> m_highestNumbers;
    /// Ids that no group_writer made, the oldest first.
    std::deque<std::string> m_foreignOrder;
    std::unordered_set<std::string> m_foreignIds;
};

} // namespace crocuslane
