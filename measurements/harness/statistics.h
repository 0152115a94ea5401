#pragma once

#include <vector>

namespace crocuslane {

/// Quantile by rank of the sorted samples; 0 without samples.
double quantile(std::vector<double> samples, double share);
double mean(const std::vector<double> &samples);

/// Minimum, median and maximum of one figure over the seeds.
struct spread {
    double minimum = 0.0;
    double median = 0.0;
    double maximum = 0.0;
};

spread spreadOf(const std::vector<double> &samples);

} // namespace crocuslane
