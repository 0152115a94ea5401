#include "harness/statistics.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace crocuslane {

double quantile(std::vector<double> samples, double share)
{
    if (samples.empty()) {
        return 0.0;
    }
    std::sort(samples.begin(), samples.end());
    const double rank = std::ceil(share * static_cast<double>(samples.size())) - 1.0;
    return samples[static_cast<std::size_t>(std::max(0.0, rank))];
}

double mean(const std::vector<double> &samples)
{
    return samples.empty() ? 0.0
                           : std::accumulate(samples.begin(), samples.end(), 0.0) / static_cast<double>(samples.size());
}

spread spreadOf(const std::vector<double> &samples)
{
    return {quantile(samples, 0.0), quantile(samples, 0.5), quantile(samples, 1.0)};
}

} // namespace crocuslane
