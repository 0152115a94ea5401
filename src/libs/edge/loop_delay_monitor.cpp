#include "edge/loop_delay_monitor.h"

#include "base/logger.h"
#include "edge/traffic_metrics.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::chrono::milliseconds checkInterval{250};
// A longer delay is logged. Limits of waiting requests and streams are about half a second and more.
constexpr std::chrono::milliseconds loggedDelay{250};

std::string milliseconds(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace

loop_delay_monitor::loop_delay_monitor(
    event_loop &loop, const clock &clock, const decision_loop &decisions, traffic_metrics &metrics, logger &log)
    : m_loop(loop)
    , m_clock(clock)
    , m_decisions(decisions)
    , m_metrics(metrics)
    , m_log(log)
{
}

loop_delay_monitor::~loop_delay_monitor()
{
    if (m_timer) {
        m_loop.cancel(*m_timer);
    }
}

void loop_delay_monitor::start()
{
    scheduleCheck();
}

void loop_delay_monitor::scheduleCheck()
{
    m_workAtLastCheck = m_decisions.work();
    m_dueAt = m_clock.steadyNow() + checkInterval;
    m_timer = m_loop.schedule(checkInterval, [this] { check(); });
}

void loop_delay_monitor::check()
{
    m_timer.reset();
    const duration delay = std::max(m_clock.steadyNow() - m_dueAt, duration::zero());
    m_metrics.observeLoopDelay(delay);
    if (delay > loggedDelay) {
        logDelay(delay);
    }
    scheduleCheck();
}

// The shares tell a slow decision, a slow connection and many small events apart; what none of them has is the time of
// other work, or the process was stopped.
void loop_delay_monitor::logDelay(duration delay) const
{
    const decision_work &work = m_decisions.work();
    m_log.write(log_level::warning,
                "event_loop_delayed",
                {{"milliseconds", milliseconds(delay)},
                 {"events", std::to_string(work.events - m_workAtLastCheck.events)},
                 {"deciding_ms", milliseconds(work.deciding - m_workAtLastCheck.deciding)},
                 {"actions_ms", milliseconds(work.actions - m_workAtLastCheck.actions)},
                 {"flushing_ms", milliseconds(work.flushing - m_workAtLastCheck.flushing)}});
}

} // namespace crocuslane
