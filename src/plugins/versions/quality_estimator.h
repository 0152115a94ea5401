#pragma once

#include "base/text_id.h"

#include <map>
#include <utility>

namespace crocuslane {

/// Estimated quality of the answers of one version to one kind of request, from ratings between 0 and 1.
struct quality_estimate {
    double mean = 0.0;
    /// One-sided 95% confidence bounds of the mean.
    double lower = 0.0;
    double upper = 1.0;
    /// Effective number of ratings; older ratings have a lower weight.
    double count = 0.0;
    /// Variance of a single rating.
    double variance = 0.0;
};

/// Exponentially weighted estimates of the mean rating per request kind and version.
class quality_estimator
{
public:
    void add(const kind_id &kind, const version_id &version, double score);
    quality_estimate estimate(const kind_id &kind, const version_id &version) const;
    void remove(const version_id &version);

private:
    struct sums {
        double count = 0.0;
        double sum = 0.0;
        double squares = 0.0;
    };

    std::map<std::pair<kind_id, version_id>, sums> m_sums;
};

} // namespace crocuslane
