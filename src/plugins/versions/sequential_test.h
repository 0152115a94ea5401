#pragma once

namespace crocuslane {

/// Cumulative-sum test (CUSUM): raises an alarm once the observations since some moment speak for "bad" against "good"
/// by more than the threshold, in log-likelihood units.
class sequential_test
{
public:
    explicit sequential_test(double threshold);

    /// Adds the log-likelihood ratio of one observation, bad against good.
    void add(double logLikelihoodRatio);
    bool hasAlarm() const;
    /// Evidence for "bad", as a share of the threshold.
    double level() const;
    void reset();

private:
    double m_threshold;
    double m_sum = 0.0;
    bool m_hasAlarm = false;
};

/// Ratio of one yes-or-no observation with the given probabilities of "yes".
double binaryLogLikelihoodRatio(bool isYes, double probabilityIfBad, double probabilityIfGood);
/// Ratio of one normal observation whose mean is higher by @p shift if bad.
double shiftLogLikelihoodRatio(double excess, double shift, double variance);

} // namespace crocuslane
