#include "plugins/admission/start_forecast.h"

#include <algorithm>
#include <iterator>

namespace crocuslane {

namespace {

constexpr std::chrono::seconds window{5};
// Fewer starts say too little about the rate to refuse a request.
constexpr std::size_t enoughStarts = 8;
// Several starts at once, when a runner returns, are no rate.
constexpr std::chrono::milliseconds shortestSpan{500};

} // namespace

void start_forecast::setContended(bool isContended, steady_time now)
{
    if (isContended == m_isContended) {
        return;
    }
    m_isContended = isContended;
    m_contendedSince = now;
    m_starts.clear();
}

void start_forecast::noteStart(steady_time now)
{
    if (!m_isContended) {
        return;
    }
    m_starts.push_back(now);
    while (m_starts.front() + window < now) {
        m_starts.pop_front();
    }
}

std::optional<duration> start_forecast::delay(std::size_t before, steady_time now) const
{
    const duration span = std::min<duration>(now - m_contendedSince, window);
    if (!m_isContended || span < shortestSpan) {
        return std::nullopt;
    }
    const auto firstRecent = std::lower_bound(m_starts.begin(), m_starts.end(), now - window);
    const auto starts = static_cast<std::size_t>(std::distance(firstRecent, m_starts.end()));
    if (starts < enoughStarts) {
        return std::nullopt;
    }
    const double perSecond = static_cast<double>(starts) / toSeconds(span);
    return fromSeconds(static_cast<double>(before + 1) / perSecond);
}

} // namespace crocuslane
