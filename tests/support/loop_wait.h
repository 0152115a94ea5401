#pragma once

#include "net/event_loop.h"

#include <chrono>
#include <functional>

namespace crocuslane {

/// Runs the loop until @p isDone returns true, or returns false after a time limit that is reached only in case of a
/// fault.
inline bool runUntil(event_loop &loop, const std::function<bool()> &isDone)
{
    constexpr std::chrono::seconds timeLimit{20};
    constexpr std::chrono::milliseconds checkInterval{2};
    bool hasTimedOut = false;
    const timer_number timeoutTimer = loop.schedule(timeLimit, [&] {
        hasTimedOut = true;
        loop.stop();
    });
    timer_number checkTimer = 0;
    std::function<void()> check = [&] {
        if (isDone()) {
            loop.stop();
            return;
        }
        checkTimer = loop.schedule(checkInterval, check);
    };
    check();
    if (!isDone()) {
        loop.run();
    }
    loop.cancel(timeoutTimer);
    loop.cancel(checkTimer);
    return !hasTimedOut;
}

} // namespace crocuslane
