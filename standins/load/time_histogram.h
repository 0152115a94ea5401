#pragma once

#include "base/clock.h"

#include <memory>

namespace crocuslane {

/// Distribution of times from 10 µs to 1 h with 1% resolution, by Boost.Histogram.
class time_histogram
{
public:
    time_histogram();
    ~time_histogram();
    time_histogram(time_histogram &&other) noexcept;
    time_histogram &operator=(time_histogram &&other) noexcept;

    void add(duration time);
    std::uint64_t count() const;
    /// In milliseconds; 0 when empty.
    double quantile(double share) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuslane
