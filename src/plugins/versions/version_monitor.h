#pragma once

#include "base/text_id.h"
#include "plugins/versions/quality_estimator.h"
#include "plugins/versions/sequential_test.h"
#include "services/version_chooser.h"

#include <map>
#include <optional>
#include <string_view>

namespace crocuslane {

enum class version_fault {
    low_ratings,
    empty_answers,
    failures,
    slow_answers,
};

std::string_view toName(version_fault fault);

/// Watches the answers of one version for a turn to the worse.
class version_monitor
{
public:
    version_monitor();

    /// @p reference is the estimate that the rating is held against, from before the rating.
    void addRating(double score, const quality_estimate &reference);
    void addAnswer(const answer_observation &observation);
    /// The first fault found; stays until reset().
    std::optional<version_fault> fault() const;
    /// Share of weak answers (empty or refused), for the expected cost of escalation.
    double weakRate() const;
    /// Evidence of the strongest test as a share of its threshold.
    double level() const;
    void reset();

private:
    struct speed_baseline {
        double count = 0.0;
        double mean = 0.0;
        double variance = 0.0;
    };

    void addSpeed(const kind_id &kind, double logSecondsPerToken);
    void raise(const sequential_test &test, version_fault fault);

    sequential_test m_ratings;
    sequential_test m_empty;
    sequential_test m_failures;
    sequential_test m_speed;
    std::map<kind_id, speed_baseline> m_speedByKind;
    double m_answers = 0.0;
    double m_weakAnswers = 0.0;
    std::optional<version_fault> m_fault;
};

} // namespace crocuslane
