#include "plugins/backends/failure_record.h"

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

// Weight of the newest result.
constexpr double newestWeight = 0.2;
constexpr double fadeSeconds = 6.0;
constexpr std::chrono::milliseconds firstAvoidance{300};
constexpr std::chrono::milliseconds longestAvoidance{3000};
constexpr std::chrono::milliseconds fullAvoidance{60};
constexpr std::chrono::milliseconds misdirectedAvoidance{1500};
constexpr unsigned failuresBeforeAvoidance = 2;

bool isFault(attempt_end end)
{
    return end == attempt_end::failed || end == attempt_end::lost || end == attempt_end::not_sent;
}

} // namespace

void failure_record::note(attempt_end end, steady_time now)
{
    fade(now);
    if (end == attempt_end::complete) {
        m_consecutive = 0;
        m_share *= 1.0 - newestWeight;
        return;
    }
    if (end == attempt_end::misdirected) {
        avoid(misdirectedAvoidance, now);
        return;
    }
    if (end == attempt_end::refused) {
        avoid(fullAvoidance, now);
        return;
    }
    if (!isFault(end)) {
        return;
    }
    m_share += newestWeight * (1.0 - m_share);
    ++m_consecutive;
    // A connection that can't be made says more than a broken answer: the process is not there.
    if (end == attempt_end::not_sent || m_consecutive >= failuresBeforeAvoidance) {
        const unsigned doublings = std::min(m_consecutive, 5U) - 1;
        avoid(std::min(firstAvoidance * (1U << doublings), longestAvoidance), now);
    }
}

void failure_record::avoid(duration time, steady_time now)
{
    m_avoidedUntil = std::max(m_avoidedUntil, now + time);
}

double failure_record::share(steady_time now) const
{
    return m_share * std::exp(-toSeconds(now - m_fadedAt) / fadeSeconds);
}

void failure_record::fade(steady_time now)
{
    m_share = share(now);
    m_fadedAt = now;
}

steady_time failure_record::avoidedUntil() const
{
    return m_avoidedUntil;
}

} // namespace crocuslane
