#include "plugins/routing/quantile_window.h"

#include <algorithm>

namespace crocuslane {

quantile_window::quantile_window(std::size_t capacity)
    : m_capacity(capacity)
{
}

void quantile_window::add(double sample)
{
    if (m_samples.size() < m_capacity) {
        m_samples.push_back(sample);
        return;
    }
    m_samples[m_next] = sample;
    m_next = (m_next + 1) % m_capacity;
}

std::optional<double> quantile_window::quantile(double probability, std::size_t minimumSamples) const
{
    if (m_samples.empty() || m_samples.size() < minimumSamples) {
        return std::nullopt;
    }
    std::vector<double> samples = m_samples;
    const auto rank = static_cast<std::ptrdiff_t>(probability * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + rank, samples.end());
    return samples[static_cast<std::size_t>(rank)];
}

} // namespace crocuslane
