#pragma once

#include "base/clock.h"
#include "edge/decision_loop.h"
#include "net/event_loop.h"

#include <optional>

namespace crocuslane {

class logger;
class traffic_metrics;

/// Measures how late the event loop calls its timers. Everything that a process does waits for that long.
class loop_delay_monitor
{
public:
    /// All references must outlive this object.
    loop_delay_monitor(
        event_loop &loop, const clock &clock, const decision_loop &decisions, traffic_metrics &metrics, logger &log);
    ~loop_delay_monitor();
    loop_delay_monitor(const loop_delay_monitor &) = delete;
    loop_delay_monitor &operator=(const loop_delay_monitor &) = delete;

    void start();

private:
    void scheduleCheck();
    void check();
    void logDelay(duration delay) const;

    event_loop &m_loop;
    const clock &m_clock;
    const decision_loop &m_decisions;
    traffic_metrics &m_metrics;
    logger &m_log;
    std::optional<timer_number> m_timer;
    steady_time m_dueAt;
    decision_work m_workAtLastCheck;
};

} // namespace crocuslane
