#pragma once

#include "kernel/action.h"
#include "kernel/event.h"

#include <algorithm>
#include <map>
#include <vector>

namespace crocuslane {

/// The log service in memory, without faults; harnesses add these around it.
class fake_log
{
public:
    explicit fake_log(const clock &clock)
        : m_clock(clock)
    {
    }

    log_offset append(const append_record &append)
    {
        stream_state &stream = m_streams[append.stream];
        const log_offset offset = stream.firstOffset + stream.records.size();
        stream.records.push_back({offset, append.recordId, m_clock.systemNow(), append.payload});
        return offset;
    }

    log_records_read read(const std::string &name, log_offset from, std::size_t maximum = 1000) const
    {
        log_records_read read;
        read.stream = name;
        read.queryTime = m_clock.steadyNow();
        const auto found = m_streams.find(name);
        if (found == m_streams.end()) {
            return read;
        }
        const stream_state &stream = found->second;
        read.firstOffset = stream.firstOffset;
        read.endOffset = stream.firstOffset + stream.records.size();
        for (log_offset offset = std::max(from, read.firstOffset);
             offset < read.endOffset && read.records.size() < maximum;
             ++offset) {
            read.records.push_back(stream.records[offset - stream.firstOffset]);
        }
        return read;
    }

    /// Removes the records that were appended before @p time.
    void removeBefore(system_time time)
    {
        for (auto &[name, stream] : m_streams) {
            const auto kept = std::find_if(stream.records.begin(),
                                           stream.records.end(),
                                           [time](const log_record &record) { return record.appendTime >= time; });
            stream.firstOffset += static_cast<log_offset>(kept - stream.records.begin());
            stream.records.erase(stream.records.begin(), kept);
        }
    }

private:
    struct stream_state {
        log_offset firstOffset = 0;
        std::vector<log_record> records;
    };

    const clock &m_clock;
    std::map<std::string, stream_state> m_streams;
};

} // namespace crocuslane
