#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace crocuslane {

/// Monotonic time, for timeouts, leases and measurements.
using steady_time = std::chrono::steady_clock::time_point;
/// Wall-clock time, for records that other VMs read.
using system_time = std::chrono::system_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// Source of time. It is passed to the decision code, so that tests and measurements can control the time.
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

/// The clocks of the operating system, with an offset on the wall clock that a test can change.
class offset_clock : public real_clock
{
public:
    /// @p path is a file whose first 8 bytes are the offset in milliseconds, a signed number in the machine's byte
    /// order. It is read at each call of systemNow(). Without the file the offset is 0.
    explicit offset_clock(const std::string &path);
    ~offset_clock() override;
    offset_clock(const offset_clock &) = delete;
    offset_clock &operator=(const offset_clock &) = delete;

    system_time systemNow() const override;

private:
    int m_file = -1;
};

/// A clock that changes only when advance() or advanceTo() is called.
class manual_clock : public clock
{
public:
    manual_clock();
    steady_time steadyNow() const override;
    system_time systemNow() const override;
    void advance(duration step);
    /// Advances to @p time; a time in the past is ignored.
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
