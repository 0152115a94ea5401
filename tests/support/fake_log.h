#pragma once

#include "kernel/action.h"
#include "kernel/event.h"

#include <algorithm>
#include <map>
#include <vector>

namespace crocuslane {

/// An in-memory log service without faults; test harnesses inject faults around it.
class fake_log
{
public:
    explicit fake_log(const clock &clock)
        : m_clock(clock)
    {
    }

    log_offset append(const append_record &append)
    {
        stored_stream &stream = m_streams[append.stream];
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
        const stored_stream &stream = found->second;
        read.firstOffset = stream.firstOffset;
        read.endOffset = stream.firstOffset + stream.records.size();
        for (log_offset offset = std::max(from, read.firstOffset);
             offset < read.endOffset && read.records.size() < maximum;
             ++offset) {
            read.records.push_back(stream.records[offset - stream.firstOffset]);
        }
        return read;
    }

    /// Removes the records appended before @p time.
    void removeBefore(system_time time)
    {
        for (auto &[name, stream] : m_streams) {
            const auto firstKept = std::find_if(stream.records.begin(),
                                                stream.records.end(),
                                                [time](const log_record &record) { return record.appendTime >= time; });
            stream.firstOffset += static_cast<log_offset>(firstKept - stream.records.begin());
            stream.records.erase(stream.records.begin(), firstKept);
        }
    }

private:
    struct stored_stream {
        log_offset firstOffset = 0;
        std::vector<log_record> records;
    };

    const clock &m_clock;
    std::map<std::string, stored_stream> m_streams;
};

} // namespace crocuslane
