#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>

class ACE_Reactor;

namespace crocuslane {

using timer_number = std::int64_t;

/// Event loop with timers and signals, on ACE's epoll reactor. A process needs only one.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// Blocks SIGTERM, SIGINT and SIGHUP. A signal that arrives before its handler is set then stays pending for the
    /// handler; unblocked, it would end the process.
    static void blockSignals();

    /// Runs until a callback calls stop(); can be called again.
    void run();
    void stop();

    /// Calls @p callback once after @p delay.
    timer_number schedule(duration delay, std::function<void()> callback);
    /// Does nothing for a timer that has expired or doesn't exist.
    void cancel(timer_number timer);
    /// Calls @p callback for each SIGTERM and SIGINT, from the loop and not from a signal handler.
    void setStopSignalHandler(std::function<void()> callback);
    /// Calls @p callback for each SIGHUP, from the loop.
    void setReloadSignalHandler(std::function<void()> callback);

    ACE_Reactor &reactor();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace crocuslane
