#pragma once

namespace crocuslane {

/// Cumulative-sum test (CUSUM).
///
/// Raises an alarm once the sum of the log-likelihood ratios of "bad" against "good", over the observations since any
/// point in time, reaches the threshold.
class sequential_test
{
public:
    explicit sequential_test(double threshold);

    /// Adds the log-likelihood ratio of one observation, bad against good.
    void add(double logLikelihoodRatio);
    bool hasAlarm() const;
    /// Current sum as a fraction of the threshold; an alarm is raised at 1.
    double evidence() const;
    void reset();

private:
    double m_threshold;
    double m_sum = 0.0;
    bool m_hasAlarm = false;
};

/// Log-likelihood ratio of one yes-or-no observation with the given probabilities of "yes".
double binaryLogLikelihoodRatio(bool isYes, double probabilityIfBad, double probabilityIfGood);
/// Log-likelihood ratio of one normally distributed observation that exceeds the mean of "good" by @p excess. The mean
/// of "bad" is higher by @p shift.
double shiftLogLikelihoodRatio(double excess, double shift, double variance);

} // namespace crocuslane
