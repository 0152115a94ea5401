#include "http/standin_loop.h"

#include "http/standin_listener_access.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace crocuslane {

namespace {

/// Maximum connections per port. The default of libmicrohttpd is derived from the limit of select().
constexpr unsigned maximumConnections = 4000;
/// Interval of the check for clients that have disconnected, which libmicrohttpd doesn't detect while a connection is
/// suspended.
constexpr std::chrono::milliseconds disconnectCheckInterval{20};

volatile std::sig_atomic_t wasInterrupted = 0;

void recordInterrupt(int)
{
    wasInterrupted = 1;
}

} // namespace

standin_listener::standin_listener(std::unique_ptr<implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

standin_listener::~standin_listener()
{
    if (m_implementation->daemon) {
        standin_listener_access::dropAllExchanges(*m_implementation);
        MHD_run(m_implementation->daemon);
        MHD_stop_daemon(m_implementation->daemon);
    }
}

void standin_listener::silenceConnections()
{
    standin_listener_access::silenceConnections(*m_implementation);
}

standin_listener::implementation &standin_listener::details()
{
    return *m_implementation;
}

standin_loop::standin_loop() = default;
standin_loop::~standin_loop() = default;

standin_listener &standin_loop::listen(const std::string &address, std::uint16_t port, standin_handler handler)
{
    auto details = std::make_unique<standin_listener::implementation>();
    details->handler = std::move(handler);
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(port);
    if (inet_pton(AF_INET, address.c_str(), &socketAddress.sin_addr) != 1) {
        throw std::runtime_error("not an IPv4 address: " + address);
    }
    details->daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
                                       port,
                                       nullptr,
                                       nullptr,
                                       &standin_listener_access::handleRequest,
                                       details.get(),
                                       MHD_OPTION_SOCK_ADDR,
                                       &socketAddress,
                                       MHD_OPTION_CONNECTION_LIMIT,
                                       maximumConnections,
                                       MHD_OPTION_NOTIFY_COMPLETED,
                                       &standin_listener_access::completeRequest,
                                       details.get(),
                                       MHD_OPTION_NOTIFY_CONNECTION,
                                       &standin_listener_access::notifyConnection,
                                       details.get(),
                                       MHD_OPTION_END);
    if (!details->daemon) {
        throw std::runtime_error("can't listen on " + address + ":" + std::to_string(port));
    }
    details->pollDescriptor = MHD_get_daemon_info(details->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_listeners.push_back(std::make_unique<standin_listener>(std::move(details)));
    return *m_listeners.back();
}

void standin_loop::callAt(steady_time time, std::function<void()> callback)
{
    m_timers.emplace(time, std::move(callback));
}

void standin_loop::add(timed_source &source)
{
    m_sources.push_back(&source);
}

void standin_loop::run()
{
    // The signals are unblocked only while the loop waits, so that none is missed between the check and the wait.
    sigset_t blocked;
    sigset_t original;
    sigemptyset(&blocked);
    sigaddset(&blocked, SIGINT);
    sigaddset(&blocked, SIGTERM);
    sigprocmask(SIG_BLOCK, &blocked, &original);
    std::signal(SIGINT, &recordInterrupt);
    std::signal(SIGTERM, &recordInterrupt);
    std::signal(SIGPIPE, SIG_IGN);

    std::vector<pollfd> descriptors;
    for (const auto &listener : m_listeners) {
        descriptors.push_back({listener->details().pollDescriptor, POLLIN, 0});
    }
    dropDisconnectedClients();
    while (!m_isStopping && wasInterrupted == 0) {
        const duration wait = std::clamp(
            nextWakeTime() - std::chrono::steady_clock::now(), duration::zero(), duration(std::chrono::seconds(60)));
        timespec timeout{};
        timeout.tv_sec = std::chrono::duration_cast<std::chrono::seconds>(wait).count();
        timeout.tv_nsec = (wait % std::chrono::seconds(1)).count();
        ppoll(descriptors.data(), descriptors.size(), &timeout, &original);
        callDueTimers();
        serveListeners();
    }
    // Ends all exchanges while the stand-ins that are notified of it still exist.
    m_listeners.clear();
    sigprocmask(SIG_SETMASK, &original, nullptr);
}

void standin_loop::serveListeners()
{
    for (const auto &listener : m_listeners) {
        standin_listener::implementation &details = listener->details();
        details.needsRun = false;
        MHD_run(details.daemon);
        MHD_UNSIGNED_LONG_LONG pending = 0;
        if (MHD_get_timeout(details.daemon, &pending) == MHD_YES && pending == 0) {
            details.needsRun = true;
        }
    }
}

void standin_loop::dropDisconnectedClients()
{
    for (const auto &listener : m_listeners) {
        standin_listener_access::dropDisconnected(listener->details());
    }
    callAt(std::chrono::steady_clock::now() + disconnectCheckInterval, [this] { dropDisconnectedClients(); });
}

void standin_loop::stop()
{
    m_isStopping = true;
}

steady_time standin_loop::nextWakeTime() const
{
    for (const auto &listener : m_listeners) {
        if (listener->details().needsRun) {
            return std::chrono::steady_clock::now();
        }
    }
    steady_time next = m_timers.empty() ? steady_time::max() : m_timers.begin()->first;
    for (const timed_source *source : m_sources) {
        next = std::min(next, source->nextTime());
    }
    // Bounded, so that subtracting the current time can't overflow.
    return std::min(next, std::chrono::steady_clock::now() + std::chrono::hours(1));
}

void standin_loop::callDueTimers()
{
    const steady_time now = std::chrono::steady_clock::now();
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const auto callback = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        callback();
    }
    for (timed_source *source : m_sources) {
        if (source->nextTime() <= now) {
            source->advance(now);
        }
    }
}

} // namespace crocuslane
