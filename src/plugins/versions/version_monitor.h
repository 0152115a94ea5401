#pragma once

#include "base/text_id.h"
#include "plugins/versions/quality_estimator.h"
#include "plugins/versions/sequential_test.h"
#include "services/version_chooser.h"

#include <map>
#include <optional>
#include <string_view>

namespace crocuslane {

/// Reason to suspend a version.
enum class version_fault {
    low_ratings,
    empty_answers,
    failures,
    slow_answers,
};

std::string_view toName(version_fault fault);

/// Detects when the answers of one version become worse, by sequential tests of ratings, empty answers, failures and
/// speed.
class version_monitor
{
public:
    version_monitor();

    /// @p reference is the estimate that the rating is compared with; it must not include the rating.
    void addRating(double score, const quality_estimate &reference);
    void addAnswer(const answer_observation &observation);
    /// The first fault that was detected; kept until reset().
    std::optional<version_fault> fault() const;
    /// Share of weak answers (empty or a refusal), from which the expected cost of escalation follows.
    double weakRate() const;
    /// Highest evidence of the tests, as a fraction of the threshold of the test.
    double evidence() const;
    void reset();

private:
    /// Mean and variance of the logarithm of the seconds per token.
    struct speed_baseline {
        double count = 0.0;
        double mean = 0.0;
        double variance = 0.0;
    };

    void addSpeed(const kind_id &kind, double logSecondsPerToken);
    void noteAlarm(const sequential_test &test, version_fault fault);

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
