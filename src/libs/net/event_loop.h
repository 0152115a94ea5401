#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>

class ACE_Reactor;

namespace crocuslane {

using timer_number = std::int64_t;

/// The one reactor of a process, on epoll, with timers and signals.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// Keeps SIGTERM, SIGINT and SIGHUP for the handlers that are set later; without it, one that comes before ends the
    /// process at once.
    static void blockSignals();

    /// Runs until stop() is called from within; can be called again.
    void run();
    void stop();

    /// Calls @p callback once after @p delay.
    timer_number schedule(duration delay, std::function<void()> callback);
    /// A timer that has run or is unknown is ignored.
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
