#include "net/paused_transfers.h"

#include <algorithm>
#include <utility>

namespace crocuslane {

namespace {

// The sockets are served between two paused transfers that go on.
constexpr std::chrono::milliseconds shortestPause{1};

} // namespace

paused_transfers::paused_transfers(event_loop &loop, wait_query waitTime, resume_callback resume)
    : m_loop(loop)
    , m_waitTime(std::move(waitTime))
    , m_resume(std::move(resume))
{
}

paused_transfers::~paused_transfers()
{
    if (m_timer) {
        m_loop.cancel(*m_timer);
    }
}

void paused_transfers::add(transfer_number transfer, duration waitTime)
{
    m_transfers.push_back(transfer);
    schedule(waitTime);
}

void paused_transfers::schedule(duration waitTime)
{
    if (m_timer || m_transfers.empty()) {
        return;
    }
    m_timer = m_loop.schedule(std::max<duration>(waitTime, shortestPause), [this] {
        m_timer.reset();
        resumeNext();
    });
}

void paused_transfers::resumeNext()
{
    const steady_time start = std::chrono::steady_clock::now();
    const transfer_number next = m_transfers.front();
    const std::optional<duration> waitTime = m_waitTime(next, start);
    if (waitTime && *waitTime > duration::zero()) {
        schedule(*waitTime);
        return;
    }
    m_transfers.pop_front();
    if (waitTime) {
        m_resume(next);
    }
    schedule(std::chrono::steady_clock::now() - start);
}

} // namespace crocuslane
