#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocuslane {

enum class log_level {
    debug,
    info,
    warning,
    error,
};

/// One key=value pair of a log line.
struct log_field {
    std::string_view key;
    std::string value;
};

/// Writes one structured line per event to standard output and never blocks on its reader. The lines of each event are
/// rate-limited; suppressed lines are counted.
class logger
{
public:
    logger(const clock &clock, std::string process, log_level threshold);

    void write(log_level level, std::string_view event, const std::vector<log_field> &fields);

private:
    /// Drops the line and counts it when standard output is not writable.
    void writeWithoutBlocking(std::string_view line);

    struct rate_window {
        steady_time windowStart;
        unsigned written = 0;
        unsigned suppressed = 0;
    };

    const clock &m_clock;
    std::string m_process;
    log_level m_threshold;
    std::map<std::string, rate_window, std::less<>> m_rateWindows;
    std::uint64_t m_dropped = 0;
};

} // namespace crocuslane
