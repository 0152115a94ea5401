#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace crocuslane {

/// Quantiles over a sliding window of the most recent samples.
class quantile_window
{
public:
    explicit quantile_window(std::size_t capacity);

    void add(double sample);
    /// Empty until there are @p minimumSamples samples. @p probability is between 0 and 1.
    std::optional<double> quantile(double probability, std::size_t minimumSamples) const;

private:
    std::size_t m_capacity;
    std::size_t m_next = 0;
    std::vector<double> m_samples;
};

} // namespace crocuslane
