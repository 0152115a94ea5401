#pragma once

#include "base/clock.h"
#include "kernel/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace crocuslane {

/// One append-only stream of records with a limited retention time.
class log_stream
{
public:
    /// Returns the offset of the new record. Append times never decrease with the offset, even when @p now does.
    log_offset append(std::string id, std::string payload, system_time now);
    /// Returns at most @p maximum records from offset @p from on, without those removed by retention.
    std::vector<log_record> read(log_offset from, std::size_t maximum) const;
    void removeOlderThan(system_time time);

    log_offset firstOffset() const;
    /// Offset of the next record to be appended.
    log_offset endOffset() const;

private:
    std::deque<log_record> m_records;
    log_offset m_end = 0;
};

/// Streams by name. A stream is created on first use.
class log_store
{
public:
    log_stream &stream(const std::string &name);
    void removeOlderThan(system_time time);

private:
    std::map<std::string, log_stream> m_streams;
};

/// Token bucket whose capacity is 0.1 s of its rate, or the amount of a single call if that is larger.
class rate_limiter
{
public:
    explicit rate_limiter(double perSecond);
    void setRate(double perSecond);
    double rate() const;
    /// Takes @p amount units; returns false, and takes nothing, when fewer are available.
    bool tryAcquire(steady_time now, double amount = 1.0);

private:
    double m_perSecond;
    double m_available;
    steady_time m_lastRefill;
};

std::string encodeBase64(std::string_view data);

} // namespace crocuslane
