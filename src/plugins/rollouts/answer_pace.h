#pragma once

#include "services/rollout_policy.h"

#include <deque>
#include <map>

namespace crocuslane {

/// Learns from the old versions' answers how long the answers of each route usually take, relative to the prompt size.
class answer_pace
{
public:
    void add(const version_observation &observation);
    /// True when the answer took several times as long as usual; false while too few answers are known.
    bool isSlow(const version_observation &observation) const;

private:
    using ratio_list = std::deque<double>;

    static double ratioOf(const version_observation &observation);
    const ratio_list &referenceFor(const std::string &route) const;

    ratio_list m_all;
    std::map<std::string, ratio_list> m_byRoute;
};

} // namespace crocuslane
