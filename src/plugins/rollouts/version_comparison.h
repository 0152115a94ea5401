#pragma once

#include "plugins/rollouts/answer_pace.h"

#include <cstdint>
#include <map>

namespace crocuslane {

/// Compares failures and delays of a new version with those of the versions that it replaces, over all routes of a
/// service and for each route.
class version_comparison
{
public:
    void add(const version_observation &observation, bool isNew);
    /// True when the new version fails clearly more often, or answers slowly clearly more often, than the old ones.
    bool hasRegressed() const;
    /// Answers of the new version, failures included.
    std::uint64_t newAnswers() const;

private:
    struct counts {
        std::uint32_t answers = 0;
        std::uint32_t failures = 0;
        std::uint32_t slow = 0;

        counts &operator+=(const counts &other);
    };
    struct pair_of_counts {
        counts newVersion;
        counts oldVersions;

        bool hasRegressed() const;
    };

    static void count(const version_observation &observation, bool isSlow, counts &target);
    std::map<std::string, pair_of_counts> countsByRoute() const;

    answer_pace m_pace;
    std::map<std::string, pair_of_counts> m_own;
};

} // namespace crocuslane
