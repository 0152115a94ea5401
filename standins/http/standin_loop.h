#pragma once

#include "base/clock.h"
#include "http/standin_exchange.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocuslane {

/// Object whose work a standin_loop runs when it is due.
class timed_source
{
public:
    virtual ~timed_source() = default;
    /// Time at which advance() is to be called next; steady_time::max() for never.
    virtual steady_time nextTime() const = 0;
    virtual void advance(steady_time now) = 0;
};

using standin_handler = std::function<void(const std::shared_ptr<standin_exchange> &)>;

class standin_listener;

/// Single-threaded event loop that serves HTTP on any number of ports and runs timers. Handlers and timers must not
/// block and need no locks.
class standin_loop
{
public:
    standin_loop();
    ~standin_loop();
    standin_loop(const standin_loop &) = delete;
    standin_loop &operator=(const standin_loop &) = delete;

    /// Throws std::runtime_error when the address is invalid or can't be listened on. The loop owns the listener, and
    /// destroys it at the end of run().
    standin_listener &listen(const std::string &address, std::uint16_t port, standin_handler handler);
    void callAt(steady_time time, std::function<void()> callback);
    /// @p source must outlive run().
    void add(timed_source &source);
    /// Returns after SIGINT, SIGTERM or stop().
    void run();
    void stop();

private:
    steady_time nextWakeTime() const;
    void callDueTimers();
    void serveListeners();
    void dropDisconnectedClients();

    std::vector<std::unique_ptr<standin_listener>> m_listeners;
    std::multimap<steady_time, std::function<void()>> m_timers;
    std::vector<timed_source *> m_sources;
    bool m_isStopping = false;
};

/// HTTP server on one port.
class standin_listener
{
public:
    /// Makes the open connections silent permanently: they stay open, but no request on them is handled and no data is
    /// sent. New connections aren't affected.
    void silenceConnections();

    class implementation;
    explicit standin_listener(std::unique_ptr<implementation> implementation);
    ~standin_listener();
    standin_listener(const standin_listener &) = delete;
    standin_listener &operator=(const standin_listener &) = delete;
    implementation &details();

private:
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuslane
