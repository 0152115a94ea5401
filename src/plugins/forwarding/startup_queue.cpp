#include "plugins/forwarding/startup_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocuslane {

namespace {

// Bounds the memory that the bodies of waiting requests use.
constexpr std::size_t maximumEntries = 256;
// A caller that waits for this fraction of its timeout can still be served in time, here or at another VM.
constexpr int timeoutDivisor = 8;
constexpr std::chrono::milliseconds maximumWait{1000};

duration waitOf(const forward_request &request)
{
    if (request.callerTimeout <= duration::zero()) {
        return maximumWait;
    }
    return std::min<duration>(request.callerTimeout / timeoutDivisor, maximumWait);
}

} // namespace

bool startup_queue::push(const forward_request &request, steady_time now)
{
    if (m_entries.size() >= maximumEntries) {
        return false;
    }
    m_entries.push_back({request, now, now + waitOf(request)});
    return true;
}

bool startup_queue::remove(const request_id &request)
{
    return std::erase_if(m_entries, [&request](const entry &each) { return each.request.request == request; }) > 0;
}

std::vector<startup_queue::entry> startup_queue::takeAll()
{
    return std::exchange(m_entries, {});
}

std::vector<startup_queue::entry> startup_queue::takeExpired(steady_time now)
{
    const auto firstExpired = std::stable_partition(
        m_entries.begin(), m_entries.end(), [now](const entry &each) { return each.waitsUntil > now; });
    std::vector<entry> expired(std::make_move_iterator(firstExpired), std::make_move_iterator(m_entries.end()));
    m_entries.erase(firstExpired, m_entries.end());
    return expired;
}

steady_time startup_queue::nextDeadline() const
{
    steady_time next = steady_time::max();
    for (const entry &each : m_entries) {
        next = std::min(next, each.waitsUntil);
    }
    return next;
}

std::size_t startup_queue::size() const
{
    return m_entries.size();
}

} // namespace crocuslane
