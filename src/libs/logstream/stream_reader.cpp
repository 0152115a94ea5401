#include "logstream/stream_reader.h"

#include "logrecords/log_record_codec.h"
#include "logstream/record_id.h"

namespace crocuslane {

namespace {

// Limits the memory for ids of records that other programs appended.
constexpr std::size_t maximumForeignIds = 10'000;

} // namespace

stream_reader::stream_reader(std::string stream, bool ignoresDuplicates)
    : m_stream(std::move(stream))
    , m_ignoresDuplicates(ignoresDuplicates)
{
}

const std::string &stream_reader::stream() const
{
    return m_stream;
}

void stream_reader::follow(action_list &actions) const
{
    actions.push_back(follow_stream{m_stream, m_position});
}

bool stream_reader::isReachable() const
{
    return m_isReachable;
}

std::optional<steady_time> stream_reader::endReadTime() const
{
    return m_endReadTime;
}

log_offset stream_reader::position() const
{
    return m_position;
}

std::uint64_t stream_reader::unreadableRecords() const
{
    return m_unreadableRecords;
}

bool stream_reader::isDuplicate(const std::string &recordId)
{
    if (!m_ignoresDuplicates) {
        return false;
    }
    // A writer has only one append in flight per stream, so the first copies of its records are in the order of their
    // numbers. The highest number is therefore enough to detect duplicates, without storing all ids.
    if (const auto id = record_id::fromText(recordId)) {
        std::uint64_t &highest = m_highestNumbers[{id->writer, id->incarnation}];
        if (id->number <= highest) {
            return true;
        }
        highest = id->number;
        return false;
    }
    if (!m_foreignIds.insert(recordId).second) {
        return true;
    }
    m_foreignIdOrder.push_back(recordId);
    if (m_foreignIdOrder.size() > maximumForeignIds) {
        m_foreignIds.erase(m_foreignIdOrder.front());
        m_foreignIdOrder.pop_front();
    }
    return false;
}

void stream_reader::read(const log_record &record, read_batch &batch)
{
    batch.recordIds.push_back(record.id);
    if (isDuplicate(record.id)) {
        return;
    }
    auto entries = decodeEntries(record.payload);
    if (!entries) {
        ++m_unreadableRecords;
        return;
    }
    for (log_entry &entry : *entries) {
        batch.entries.push_back({record.offset, record.id, record.appendTime, std::move(entry)});
    }
}

std::optional<read_batch> stream_reader::handle(const event &event)
{
    if (const auto *unreachable = std::get_if<log_unreachable>(&event)) {
        if (unreachable->stream == m_stream) {
            m_isReachable = false;
        }
        return std::nullopt;
    }
    const auto *read = std::get_if<log_records_read>(&event);
    if (!read || read->stream != m_stream) {
        return std::nullopt;
    }
    m_isReachable = true;
    read_batch batch;
    if (read->firstOffset > m_position) {
        batch.hasGap = true;
        batch.readableFrom = read->firstOffset;
        m_position = read->firstOffset;
    }
    for (const log_record &record : read->records) {
        if (record.offset < m_position) {
            continue;
        }
        if (record.offset > m_position) {
            batch.hasGap = true;
            batch.readableFrom = record.offset;
        }
        if (batch.hasGap && !batch.appendTimeAfterGap) {
            batch.appendTimeAfterGap = record.appendTime;
        }
        this->read(record, batch);
        m_position = record.offset + 1;
    }
    batch.isAtEnd = m_position >= read->endOffset;
    if (batch.isAtEnd) {
        m_endReadTime = std::max(m_endReadTime.value_or(steady_time::min()), read->queryTime);
    }
    return batch;
}

} // namespace crocuslane
