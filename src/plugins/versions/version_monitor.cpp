#include "plugins/versions/version_monitor.h"

#include "base/name_table.h"

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

constexpr auto versionFaultNames = makeNameTable<version_fault>({
    {version_fault::low_ratings, "low_ratings"},
    {version_fault::empty_answers, "empty_answers"},
    {version_fault::failures, "failures"},
    {version_fault::slow_answers, "slow_answers"},
});

// The mean number of observations between false alarms grows exponentially with the threshold. These values give
// hundreds of thousands of ratings and millions of answers.
constexpr double ratingThreshold = 13.0;
constexpr double answerThreshold = 14.0;
// Bound on the effect of one observation on a test, so that a few outliers, such as answers of a slow runner or from a
// long queue, can't raise an alarm.
constexpr double maximumStep = 2.0;
// Drop of the mean rating that callers notice; the ratings are tested for it.
constexpr double ratingDrop = 0.15;
// Ratings are compared with a reference only when it is based on at least this many ratings.
constexpr double minimumReferenceRatings = 20.0;
// Probabilities of an empty answer and of a failure, for a good and a bad version.
constexpr double emptyProbabilityIfGood = 0.02;
constexpr double emptyProbabilityIfBad = 0.30;
constexpr double failureProbabilityIfGood = 0.03;
constexpr double failureProbabilityIfBad = 0.30;
// A bad version is slower by half or more; the test assumes a factor of 1.7. It is applied to logarithms of times,
// where a factor becomes a shift.
const double slowShift = std::log(1.7);
constexpr double smallestLogVariance = 0.05;
// The speed of an answer is tested once the baseline has this many answers.
constexpr double minimumBaselineAnswers = 30.0;
// From this many answers on, the baseline is an exponentially weighted mean over that number.
constexpr double maximumBaselineAnswers = 2000.0;
// Above this evidence the baseline is not updated, so that it doesn't adapt to answers that may be faulty.
constexpr double suspicionEvidence = 0.2;
// Number of answers over which the rate of weak answers is averaged, and number of good answers assumed beforehand.
constexpr double weakRateWindowAnswers = 1000.0;
constexpr double weakRatePriorAnswers = 20.0;

double bounded(double step)
{
    return std::clamp(step, -maximumStep, maximumStep);
}

} // namespace

std::string_view toName(version_fault fault)
{
    return versionFaultNames.name(fault);
}

version_monitor::version_monitor()
    : m_ratings(ratingThreshold)
    , m_empty(answerThreshold)
    , m_failures(answerThreshold)
    , m_speed(answerThreshold)
{
}

void version_monitor::addRating(double score, const quality_estimate &reference)
{
    if (reference.count < minimumReferenceRatings) {
        return;
    }
    m_ratings.add(bounded(shiftLogLikelihoodRatio(reference.mean - score, ratingDrop, reference.variance)));
    noteAlarm(m_ratings, version_fault::low_ratings);
}

void version_monitor::addAnswer(const answer_observation &observation)
{
    m_failures.add(binaryLogLikelihoodRatio(observation.hasFailed, failureProbabilityIfBad, failureProbabilityIfGood));
    noteAlarm(m_failures, version_fault::failures);
    if (observation.hasFailed) {
        return;
    }
    const bool isWeak = observation.wasEmpty || observation.wasRefusal;
    const double retained = 1.0 - 1.0 / weakRateWindowAnswers;
    m_answers = m_answers * retained + 1.0;
    m_weakAnswers = m_weakAnswers * retained + (isWeak ? 1.0 : 0.0);
    m_empty.add(binaryLogLikelihoodRatio(observation.wasEmpty, emptyProbabilityIfBad, emptyProbabilityIfGood));
    noteAlarm(m_empty, version_fault::empty_answers);
    const double secondsPerToken = toSeconds(observation.timePerToken);
    if (!observation.wasEmpty && secondsPerToken > 0.0) {
        addSpeed(observation.kind, std::log(secondsPerToken));
    }
}

void version_monitor::addSpeed(const kind_id &kind, double logSecondsPerToken)
{
    speed_baseline &baseline = m_speedByKind[kind];
    const double variance = std::max(baseline.variance, smallestLogVariance);
    if (baseline.count >= minimumBaselineAnswers) {
        m_speed.add(bounded(shiftLogLikelihoodRatio(logSecondsPerToken - baseline.mean, slowShift, variance)));
        noteAlarm(m_speed, version_fault::slow_answers);
    }
    if (m_speed.evidence() > suspicionEvidence) {
        return;
    }
    baseline.count = std::min(baseline.count + 1.0, maximumBaselineAnswers);
    const double difference = logSecondsPerToken - baseline.mean;
    baseline.mean += difference / baseline.count;
    baseline.variance += (difference * (logSecondsPerToken - baseline.mean) - baseline.variance) / baseline.count;
}

void version_monitor::noteAlarm(const sequential_test &test, version_fault fault)
{
    if (!m_fault && test.hasAlarm()) {
        m_fault = fault;
    }
}

std::optional<version_fault> version_monitor::fault() const
{
    return m_fault;
}

double version_monitor::weakRate() const
{
    return m_weakAnswers / (m_answers + weakRatePriorAnswers);
}

double version_monitor::evidence() const
{
    return std::max({m_ratings.evidence(), m_empty.evidence(), m_failures.evidence(), m_speed.evidence()});
}

void version_monitor::reset()
{
    *this = version_monitor();
}

} // namespace crocuslane
