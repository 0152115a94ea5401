#pragma once

#include "services/rollout_policy.h"

#include <vector>

namespace crocuslane {

/// Compares the answers of a new version with those of the versions that it replaces.
class version_evidence
{
public:
    void add(const version_observation &observation, bool isNew);
    /// The new version fails clearly more often, or answers clearly slower.
    bool isBad() const;

private:
    struct sample {
        unsigned answers = 0;
        unsigned failures = 0;
        /// Delays relative to what the prompt size lets expect, the most recent ones.
        std::vector<double> delays;
    };

    static double median(std::vector<double> values);
    bool failsMore() const;
    bool isSlower() const;

    sample m_new;
    sample m_old;
};

} // namespace crocuslane
