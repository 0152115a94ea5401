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

// The mean number of observations between false alarms grows like e to the threshold: these give millions of answers
// and hundreds of thousands of ratings.
constexpr double ratingThreshold = 13.0;
constexpr double answerThreshold = 14.0;
// One observation moves a test by this at most, so that a few outliers (a straggler among the runners, one long queue)
// can't raise an alarm.
constexpr double largestStep = 2.0;
// A drop of the mean rating that callers notice.
constexpr double ratingDrop = 0.15;
// Ratings are held against a reference only when that rests on this many.
constexpr double ratingsForReference = 20.0;
constexpr double emptyIfGood = 0.02;
constexpr double emptyIfBad = 0.30;
constexpr double failureIfGood = 0.03;
constexpr double failureIfBad = 0.30;
// A bad version is slower by half or more; the logarithm turns factors into shifts.
const double slowShift = std::log(1.7);
constexpr double smallestLogVariance = 0.05;
constexpr double answersForSpeedBaseline = 30.0;
constexpr double speedBaselineMemory = 2000.0;
// The baseline must not learn from answers that are under suspicion.
constexpr double suspicionLevel = 0.2;
constexpr double weakRateMemory = 1000.0;
constexpr double weakRatePriorAnswers = 20.0;

double bounded(double step)
{
    return std::clamp(step, -largestStep, largestStep);
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
    if (reference.count < ratingsForReference) {
        return;
    }
    m_ratings.add(bounded(shiftLogLikelihoodRatio(reference.mean - score, ratingDrop, reference.variance)));
    raise(m_ratings, version_fault::low_ratings);
}

void version_monitor::addAnswer(const answer_observation &observation)
{
    m_failures.add(binaryLogLikelihoodRatio(observation.hasFailed, failureIfBad, failureIfGood));
    raise(m_failures, version_fault::failures);
    if (observation.hasFailed) {
        return;
    }
    const bool isWeak = observation.wasEmpty || observation.wasRefusal;
    const double retained = 1.0 - 1.0 / weakRateMemory;
    m_answers = m_answers * retained + 1.0;
    m_weakAnswers = m_weakAnswers * retained + (isWeak ? 1.0 : 0.0);
    m_empty.add(binaryLogLikelihoodRatio(observation.wasEmpty, emptyIfBad, emptyIfGood));
    raise(m_empty, version_fault::empty_answers);
    const double secondsPerToken = toSeconds(observation.timePerToken);
    if (!observation.wasEmpty && secondsPerToken > 0.0) {
        addSpeed(observation.kind, std::log(secondsPerToken));
    }
}

void version_monitor::addSpeed(const kind_id &kind, double logSecondsPerToken)
{
    speed_baseline &baseline = m_speedByKind[kind];
    const double variance = std::max(baseline.variance, smallestLogVariance);
    if (baseline.count >= answersForSpeedBaseline) {
        m_speed.add(bounded(shiftLogLikelihoodRatio(logSecondsPerToken - baseline.mean, slowShift, variance)));
        raise(m_speed, version_fault::slow_answers);
    }
    if (m_speed.level() > suspicionLevel) {
        return;
    }
    baseline.count = std::min(baseline.count + 1.0, speedBaselineMemory);
    const double difference = logSecondsPerToken - baseline.mean;
    baseline.mean += difference / baseline.count;
    baseline.variance += (difference * (logSecondsPerToken - baseline.mean) - baseline.variance) / baseline.count;
}

void version_monitor::raise(const sequential_test &test, version_fault fault)
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

double version_monitor::level() const
{
    return std::max({m_ratings.level(), m_empty.level(), m_failures.level(), m_speed.level()});
}

void version_monitor::reset()
{
    *this = version_monitor();
}

} // namespace crocuslane
