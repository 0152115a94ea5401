#include "base/logger.h"

#include "base/name_table.h"
#include "base/outside_text.h"

#include <fmt/chrono.h>
#include <fmt/core.h>

#include <poll.h>
#include <unistd.h>

namespace crocuslane {

namespace {

constexpr auto levelNames = makeNameTable<log_level>({
    {log_level::debug, "debug"},
    {log_level::info, "info"},
    {log_level::warning, "warning"},
    {log_level::error, "error"},
});

constexpr std::chrono::seconds rateWindow{1};
// Rate limit per event: further lines within the window are counted instead of written.
constexpr unsigned linesPerWindow = 50;

// A pipe accepts a line of PIPE_BUF bytes (4096) without blocking.
constexpr std::size_t maximumValueBytes = 512;
constexpr std::size_t maximumLineBytes = 4000;

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\\") != std::string_view::npos || !isPlainText(value);
}

std::string quoted(std::string_view value)
{
    std::string result;
    for (const char character : value) {
        switch (character) {
        case '"':
        case '\\':
            result += '\\';
            result += character;
            break;
        case '\n':
            result += "\\n";
            break;
        case '\r':
            result += "\\r";
            break;
        default:
            result += character;
        }
    }
    return '"' + escapedText(result, maximumValueBytes) + '"';
}

std::string valueText(std::string_view value)
{
    return needsQuotes(value) ? quoted(value) : escapedText(value, maximumValueBytes);
}

} // namespace

logger::logger(const clock &clock, std::string process, log_level threshold)
    : m_clock(clock)
    , m_process(std::move(process))
    , m_threshold(threshold)
{
}

void logger::write(log_level level, std::string_view event, const std::vector<log_field> &fields)
{
    if (level < m_threshold) {
        return;
    }
    const steady_time now = m_clock.steadyNow();
    rate_window &window = m_rateWindows[std::string(event)];
    unsigned suppressedBefore = 0;
    if (now - window.windowStart >= rateWindow) {
        suppressedBefore = window.suppressed;
        window = {now, 0, 0};
    }
    if (window.written >= linesPerWindow) {
        ++window.suppressed;
        return;
    }
    ++window.written;

    const std::int64_t milliseconds = unixMilliseconds(m_clock.systemNow());
    const std::time_t seconds = milliseconds / 1000;
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} process={} event={}",
                                   fmt::gmtime(seconds),
                                   milliseconds % 1000,
                                   levelNames.name(level),
                                   m_process,
                                   event);
    for (const log_field &field : fields) {
        line += fmt::format(" {}={}", field.key, valueText(field.value));
    }
    if (suppressedBefore > 0) {
        line += fmt::format(" suppressed={}", suppressedBefore);
    }
    if (line.size() > maximumLineBytes) {
        line.resize(maximumLineBytes);
    }
    line += '\n';
    writeWithoutBlocking(line);
}

void logger::writeWithoutBlocking(std::string_view line)
{
    // A pipe that polls as writable accepts a line of up to PIPE_BUF bytes without blocking. A reader that has stalled
    // must not block the process, so lines are dropped and counted until it reads again.
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    const bool isWritable = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    if (!isWritable || ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
        ++m_dropped;
        return;
    }
    if (m_dropped == 0) {
        return;
    }
    const std::string note = fmt::format("process={} event=log_lines_dropped count={}\n", m_process, m_dropped);
    m_dropped = 0;
    if (::write(STDOUT_FILENO, note.data(), note.size()) < 0) {
        ++m_dropped;
    }
}

} // namespace crocuslane
