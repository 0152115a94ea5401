#include "net/event_loop.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <stdexcept>
#include <vector>

namespace crocuslane {

namespace {

constexpr std::size_t maximumHandles = 16384;
// Used when the limit of the process can't be read.
constexpr std::size_t fallbackHandles = 1024;

/// ACE fails to open a reactor for more descriptors than the process may have.
std::size_t handleLimit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return fallbackHandles;
    }
    return std::min<std::size_t>(limit.rlim_cur, maximumHandles);
}

sigset_t blockSignalNumbers(const std::vector<int> &numbers)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : numbers) {
        sigaddset(&signals, number);
    }
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/// Calls a callback from the reactor for each signal that arrives.
class signal_reader : public ACE_Event_Handler
{
public:
    signal_reader(ACE_Reactor &reactor, const std::vector<int> &numbers, std::function<void()> callback)
        : m_reactor(reactor)
        , m_callback(std::move(callback))
    {
        const sigset_t signals = blockSignalNumbers(numbers);
        m_descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
        m_reactor.register_handler(this, READ_MASK);
    }

    ~signal_reader() override
    {
        m_reactor.remove_handler(this, READ_MASK | DONT_CALL);
        ::close(m_descriptor);
    }

    ACE_HANDLE get_handle() const override // NOLINT(readability-identifier-naming): name given by ACE
    {
        return m_descriptor;
    }

    int handle_input(ACE_HANDLE /*handle*/) override
    {
        signalfd_siginfo info{};
        if (::read(m_descriptor, &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
            m_callback();
        }
        return 0;
    }

private:
    ACE_Reactor &m_reactor;
    int m_descriptor = -1;
    std::function<void()> m_callback;
};

} // namespace

struct event_loop::private_data : public ACE_Event_Handler {
    int handle_timeout(const ACE_Time_Value & /*now*/, const void *argument) override
    {
        const auto number = static_cast<timer_number>(reinterpret_cast<std::intptr_t>(argument));
        const auto found = callbacks.find(number);
        if (found == callbacks.end()) {
            return 0;
        }
        const std::function<void()> callback = std::move(found->second);
        callbacks.erase(found);
        aceTimers.erase(number);
        callback();
        return 0;
    }

    std::unique_ptr<ACE_Reactor> reactor;
    std::unique_ptr<signal_reader> stopSignals;
    std::unique_ptr<signal_reader> reloadSignals;
    timer_number lastTimer = 0;
    std::map<timer_number, std::function<void()>> callbacks;
    std::map<timer_number, long> aceTimers;
    bool isStopped = false;
};

event_loop::event_loop()
    : d(std::make_unique<private_data>())
{
    // With SIGPIPE ignored, a write to a connection that the other end has closed fails with EPIPE. By default the
    // signal ends the process, and libmicrohttpd doesn't change that.
    std::signal(SIGPIPE, SIG_IGN);
    auto implementation = std::make_unique<ACE_Dev_Poll_Reactor>(handleLimit());
    if (!implementation->initialized()) {
        throw std::runtime_error("the reactor cannot be opened");
    }
    d->reactor = std::make_unique<ACE_Reactor>(implementation.release(), true);
}

event_loop::~event_loop()
{
    d->stopSignals.reset();
    d->reloadSignals.reset();
    d->reactor->cancel_timer(d.get());
}

void event_loop::blockSignals()
{
    blockSignalNumbers({SIGTERM, SIGINT, SIGHUP});
}

void event_loop::run()
{
    d->isStopped = false;
    while (!d->isStopped) {
        d->reactor->handle_events();
    }
}

void event_loop::stop()
{
    d->isStopped = true;
}

timer_number event_loop::schedule(duration delay, std::function<void()> callback)
{
    const timer_number number = ++d->lastTimer;
    d->callbacks[number] = std::move(callback);
    ACE_Time_Value wait;
    wait.set(toSeconds(std::max(delay, duration::zero())));
    // ACE passes the pointer back unchanged; its value is the number of the timer.
    const auto *argument =
        reinterpret_cast<const void *>(static_cast<std::intptr_t>(number)); // NOLINT(performance-no-int-to-ptr)
    d->aceTimers[number] = d->reactor->schedule_timer(d.get(), argument, wait);
    return number;
}

void event_loop::cancel(timer_number timer)
{
    const auto found = d->aceTimers.find(timer);
    if (found == d->aceTimers.end()) {
        return;
    }
    d->reactor->cancel_timer(found->second);
    d->aceTimers.erase(found);
    d->callbacks.erase(timer);
}

void event_loop::setStopSignalHandler(std::function<void()> callback)
{
    d->stopSignals =
        std::make_unique<signal_reader>(*d->reactor, std::vector<int>{SIGTERM, SIGINT}, std::move(callback));
}

void event_loop::setReloadSignalHandler(std::function<void()> callback)
{
    d->reloadSignals = std::make_unique<signal_reader>(*d->reactor, std::vector<int>{SIGHUP}, std::move(callback));
}

ACE_Reactor &event_loop::reactor()
{
    return *d->reactor;
}

} // namespace crocuslane
