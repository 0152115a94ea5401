#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace crocuslane {

/// Time that never steps back; for timeouts, leases and measurements.
using steady_time = std::chrono::steady_clock::time_point;
/// Wall-clock time; for records that other VMs read.
using system_time = std::chrono::system_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// Source of time. Decision code gets it passed in, so that tests and measurements can drive it.
class clock
{
public:
    virtual ~clock() = default;
    virtual steady_time steadyNow() const = 0;
    virtual system_time systemNow() const = 0;
};

/// The clocks of the operating system.
class real_clock : public clock
{
public:
    steady_time steadyNow() const override;
    system_time systemNow() const override;
};

/// The clocks of the operating system, with a time of day that a test shifts.
class offset_clock : public real_clock
{
public:
    /// @p path is a file of at least 8 bytes that holds the offset in milliseconds, a signed number in the machine's
    /// byte order. It is read at each look at the time of day; without it the offset is 0.
    explicit offset_clock(const std::string &path);
    ~offset_clock() override;
    offset_clock(const offset_clock &) = delete;
    offset_clock &operator=(const offset_clock &) = delete;

    system_time systemNow() const override;

private:
    int m_file = -1;
};

/// A clock that moves only when told to.
class manual_clock : public clock
{
public:
    manual_clock();
    steady_time steadyNow() const override;
    system_time systemNow() const override;
    void advance(duration step);
    /// Moves to @p time; a time in the past is ignored.
    void advanceTo(steady_time time);

private:
    steady_time m_steady;
    system_time m_system;
};

/// Milliseconds since the Unix epoch.
std::int64_t unixMilliseconds(system_time time);
system_time fromUnixMilliseconds(std::int64_t milliseconds);
/// Seconds as a floating-point number.
double toSeconds(duration value);
duration fromSeconds(double seconds);

} // namespace crocuslane
