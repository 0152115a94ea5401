#pragma once

#include "kernel/action.h"
#include "kernel/event.h"
#include "logrecords/log_entry.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_set>

namespace crocuslane {

/// An entry read from the log, with the offset, id and append time of its record. Entries of one record share them.
struct read_entry {
    log_offset offset = 0;
    std::string recordId;
    system_time appendTime;
    log_entry content;
};

/// Result of one read of a stream.
struct read_batch {
    /// Entries in log order, without those of duplicate records.
    std::vector<read_entry> entries;
    /// Ids of all records of the read, including duplicates.
    std::vector<std::string> recordIds;
    /// Whether retention removed records before they could be read, so that records before this batch's entries are
    /// missing.
    bool hasGap = false;
    /// First readable offset after the gap.
    log_offset readableFrom = 0;
    /// Append time of the first record after the gap; the missing records are not newer.
    std::optional<system_time> appendTimeAfterGap;
    /// Whether the batch reached the end that the stream had when the read was requested.
    bool isAtEnd = false;
};

/// Reads one stream. Ignores records whose id was read before, so that a retried append has no effect.
class stream_reader
{
public:
    /// @p ignoresDuplicates is false only in control runs of proofs, which must detect the effect of duplicates.
    explicit stream_reader(std::string stream, bool ignoresDuplicates = true);

    const std::string &stream() const;
    /// Requests the records from position() on.
    void follow(action_list &actions) const;
    /// Returns the records that @p event contains; empty for events without records of this stream.
    std::optional<read_batch> handle(const event &event);

    /// Whether the log service answered the last query.
    bool isReachable() const;
    /// All records appended before this time were read. Empty until the end of the stream was read for the first time.
    std::optional<steady_time> endReadTime() const;
    /// Next offset to read.
    log_offset position() const;
    /// Number of records whose payload could not be decoded.
    std::uint64_t unreadableRecords() const;

private:
    bool isDuplicate(const std::string &recordId);
    void read(const log_record &record, read_batch &batch);

    std::string m_stream;
    bool m_ignoresDuplicates;
    bool m_isReachable = true;
    log_offset m_position = 0;
    std::optional<steady_time> m_endReadTime;
    std::uint64_t m_unreadableRecords = 0;
    /// Highest record number that was read, by writer and incarnation.
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> m_highestNumbers;
    /// Ids of another format than record_id, oldest first.
    std::deque<std::string> m_foreignIdOrder;
    std::unordered_set<std::string> m_foreignIds;
};

} // namespace crocuslane
