#include "plugins/backends/failure_record.h"

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

// Weight of the newest result in the moving average of failures.
constexpr double smoothingFactor = 0.2;
// Time constant of the exponential decay of the failure rate.
constexpr double decaySeconds = 6.0;
// The time doubles with each consecutive failure, up to the maximum.
constexpr std::chrono::milliseconds initialAvoidance{300};
constexpr std::chrono::milliseconds maximumAvoidance{3000};
constexpr std::chrono::milliseconds refusalAvoidance{60};
constexpr std::chrono::milliseconds misdirectedAvoidance{1500};
constexpr unsigned failuresBeforeAvoidance = 2;

bool isFailure(attempt_end end)
{
    return end == attempt_end::failed || end == attempt_end::lost || end == attempt_end::not_sent;
}

} // namespace

void failure_record::addResult(attempt_end end, steady_time now)
{
    decay(now);
    if (end == attempt_end::complete) {
        m_consecutive = 0;
        m_failureRate *= 1.0 - smoothingFactor;
        return;
    }
    if (end == attempt_end::misdirected) {
        avoid(misdirectedAvoidance, now);
        return;
    }
    if (end == attempt_end::refused) {
        avoid(refusalAvoidance, now);
        return;
    }
    if (!isFailure(end)) {
        return;
    }
    m_failureRate += smoothingFactor * (1.0 - m_failureRate);
    ++m_consecutive;
    // A failed connection attempt counts at once, unlike a single broken answer: the process is not running.
    if (end == attempt_end::not_sent || m_consecutive >= failuresBeforeAvoidance) {
        const unsigned doublings = std::min(m_consecutive, 5U) - 1;
        avoid(std::min(initialAvoidance * (1U << doublings), maximumAvoidance), now);
    }
}

void failure_record::avoid(duration time, steady_time now)
{
    m_avoidedUntil = std::max(m_avoidedUntil, now + time);
}

double failure_record::failureRate(steady_time now) const
{
    return m_failureRate * std::exp(-toSeconds(now - m_decayedAt) / decaySeconds);
}

void failure_record::decay(steady_time now)
{
    m_failureRate = failureRate(now);
    m_decayedAt = now;
}

steady_time failure_record::avoidedUntil() const
{
    return m_avoidedUntil;
}

} // namespace crocuslane
