#pragma once

#include "base/clock.h"
#include "kernel/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace crocuslane {

/// One append-only stream with a limited time of retention.
class log_stream
{
public:
    /// Times don't decrease with the offset, even when the clock of @p now does.
    log_offset append(std::string id, std::string payload, system_time now);
    /// Records from @p from on, at most @p maximum; those removed by retention are left out.
    std::vector<log_record> read(log_offset from, std::size_t maximum) const;
    void removeOlderThan(system_time time);

    log_offset firstOffset() const;
    log_offset endOffset() const;

private:
    std::deque<log_record> m_records;
    log_offset m_end = 0;
};

/// Streams by name; a stream exists as soon as it is named.
class log_store
{
public:
    log_stream &stream(const std::string &name);
    void removeOlderThan(system_time time);

private:
    std::map<std::string, log_stream> m_streams;
};

/// Bounds a rate over time, with bursts of a tenth of a second.
class rate_limiter
{
public:
    explicit rate_limiter(double perSecond);
    void setRate(double perSecond);
    double rate() const;
    /// Takes one unit, or @p amount; false when none is left.
    bool take(steady_time now, double amount = 1.0);

private:
    double m_perSecond;
    double m_available;
    steady_time m_last;
};

std::string encodeBase64(std::string_view data);

} // namespace crocuslane
