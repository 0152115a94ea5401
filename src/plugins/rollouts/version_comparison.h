#pragma once

#include "services/rollout_policy.h"

#include <vector>

namespace crocuslane {

/// Compares failures and delays of a new version with those of the versions that it replaces.
class version_comparison
{
public:
    void add(const version_observation &observation, bool isNew);
    /// True when the new version fails clearly more often or answers clearly slower than the old ones.
    bool hasRegressed() const;

private:
    struct sample {
        unsigned answers = 0;
        unsigned failures = 0;
        /// The most recent delays of successful answers, each divided by the expected delay for the prompt size.
        std::vector<double> delays;
    };

    static double median(std::vector<double> values);
    bool failsMore() const;
    bool isSlower() const;

    sample m_new;
    sample m_old;
};

} // namespace crocuslane
