#include "edge/decision_loop.h"

#include "base/guarded_call.h"
#include "kernel/kernel.h"
#include "net/event_loop.h"

#include <algorithm>
#include <deque>
#include <optional>

namespace crocuslane {

struct decision_loop::private_data {
    void handlePending()
    {
        if (isHandling) {
            return;
        }
        isHandling = true;
        while (!pending.empty()) {
            event next = std::move(pending.front());
            pending.pop_front();
            handle(std::move(next));
        }
        isHandling = false;
        const steady_time flushStart = time.steadyNow();
        host.handleQueueEmpty();
        work.flushing += time.steadyNow() - flushStart;
        scheduleDeadline();
    }

    /// An exception must not leave isHandling set, or no later event would be handled.
    void handle(event next)
    {
        const auto *received = std::get_if<forward_received>(&next);
        const request_id request = received == nullptr ? request_id() : received->request.request;
        action_list actions;
        const bool isHandled = callGuarded(
            [&] {
                host.observe(next);
                const steady_time startTime = time.steadyNow();
                actions = decisions.handle(std::move(next));
                const duration handlingTime = time.steadyNow() - startTime;
                ++work.events;
                work.deciding += handlingTime;
                host.observeStep(handlingTime);
            },
            [this](const char *text) { host.handleException(text); });
        if (!isHandled && !request.isEmpty()) {
            // Plug-ins may have passed the request on before one of them threw.
            actions = {refuse_forward{request, refusal_reason::attempts_exhausted_may_have_run, {}}};
        }
        carryOut(actions);
    }

    void carryOut(const action_list &actions)
    {
        if (actions.empty()) {
            return;
        }
        const steady_time startTime = time.steadyNow();
        for (const action &action : actions) {
            callGuarded([&] { host.carryOut(action); }, [this](const char *text) { host.handleException(text); });
        }
        work.actions += time.steadyNow() - startTime;
    }

    void scheduleDeadline()
    {
        const steady_time deadline = decisions.nextDeadline();
        if (deadlineTimer && scheduledDeadline == deadline) {
            return;
        }
        if (deadlineTimer) {
            loop.cancel(*deadlineTimer);
            deadlineTimer.reset();
        }
        scheduledDeadline = deadline;
        if (deadline == steady_time::max()) {
            return;
        }
        // Lets the sockets be served even when the deadline stays in the past.
        constexpr std::chrono::milliseconds shortestWait{1};
        const duration wait = std::max<duration>(deadline - time.steadyNow(), shortestWait);
        deadlineTimer = loop.schedule(wait, [this] {
            deadlineTimer.reset();
            pending.push_back(timer_expired{});
            handlePending();
        });
    }

    kernel &decisions;
    decision_host &host;
    event_loop &loop;
    const clock &time;
    std::deque<event> pending = {};
    bool isHandling = false;
    decision_work work = {};
    std::optional<timer_number> deadlineTimer = {};
    steady_time scheduledDeadline = {};
};

decision_loop::decision_loop(kernel &decisions, decision_host &host, event_loop &loop, const clock &clock)
    : d(new private_data{decisions, host, loop, clock})
{
}

decision_loop::~decision_loop()
{
    if (d->deadlineTimer) {
        d->loop.cancel(*d->deadlineTimer);
    }
}

void decision_loop::begin(const action_list &firstActions)
{
    d->carryOut(firstActions);
    d->scheduleDeadline();
}

void decision_loop::deliver(event event)
{
    d->pending.push_back(std::move(event));
    d->handlePending();
}

void decision_loop::deliverAll(std::vector<event> events)
{
    for (event &each : events) {
        d->pending.push_back(std::move(each));
    }
    d->handlePending();
}

void decision_loop::close()
{
    // handlePending() does nothing while this is set.
    d->isHandling = true;
}

const decision_work &decision_loop::work() const
{
    return d->work;
}

} // namespace crocuslane
