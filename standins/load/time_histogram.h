#pragma once

#include "base/clock.h"

#include <memory>

namespace crocuslane {

/// Distribution of times from 10 µs to 1 h with a resolution of 1%. Times out of this range count as its ends.
class time_histogram
{
public:
    time_histogram();
    ~time_histogram();
    time_histogram(time_histogram &&other) noexcept;
    time_histogram &operator=(time_histogram &&other) noexcept;

    void add(duration time);
    std::uint64_t count() const;
    /// Time in milliseconds that the share @p share of the times doesn't exceed; 0 when there are no times.
    double quantile(double share) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuslane
