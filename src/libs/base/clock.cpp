#include "base/clock.h"

#include <fcntl.h>
#include <unistd.h>

namespace crocuslane {

namespace {

// Start values of manual clocks. The steady clock starts late enough that subtracting a timeout gives no negative time.
constexpr std::chrono::hours manualClockStart{24};
constexpr std::chrono::seconds manualClockUnixStart{1'750'000'000};

} // namespace

steady_time real_clock::steadyNow() const
{
    return std::chrono::steady_clock::now();
}

system_time real_clock::systemNow() const
{
    return std::chrono::system_clock::now();
}

offset_clock::offset_clock(const std::string &path)
    : m_file(path.empty() ? -1 : ::open(path.c_str(), O_RDONLY | O_CLOEXEC))
{
}

offset_clock::~offset_clock()
{
    if (m_file >= 0) {
        ::close(m_file);
    }
}

system_time offset_clock::systemNow() const
{
    std::int64_t milliseconds = 0;
    if (m_file >= 0 && ::pread(m_file, &milliseconds, sizeof milliseconds, 0) != sizeof milliseconds) {
        milliseconds = 0;
    }
    return real_clock::systemNow() + std::chrono::milliseconds(milliseconds);
}

manual_clock::manual_clock()
    : m_steady(manualClockStart)
    , m_system(manualClockUnixStart)
{
}

steady_time manual_clock::steadyNow() const
{
    return m_steady;
}

system_time manual_clock::systemNow() const
{
    return m_system;
}

void manual_clock::advance(duration step)
{
    m_steady += step;
    m_system += std::chrono::duration_cast<system_time::duration>(step);
}

void manual_clock::advanceTo(steady_time time)
{
    if (time > m_steady) {
        advance(time - m_steady);
    }
}

std::int64_t unixMilliseconds(system_time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

system_time fromUnixMilliseconds(std::int64_t milliseconds)
{
    return system_time(std::chrono::duration_cast<system_time::duration>(std::chrono::milliseconds(milliseconds)));
}

double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace crocuslane
