#pragma once

#include "base/clock.h"
#include "edge/event_sink.h"
#include "kernel/action.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace crocuslane {

class event_loop;
class kernel;

/// Carries out the actions of a kernel, and observes its events and how long it handles them.
class decision_host
{
public:
    virtual ~decision_host() = default;
    /// Called before the kernel handles the event.
    virtual void observe(const event &event) = 0;
    /// Called with the time that the kernel took to handle one event.
    virtual void observeStep(duration handlingTime) = 0;
    virtual void carryOut(const action &action) = 0;
    /// Called with the text of an exception that an event or an action has thrown; the rest of it is dropped.
    virtual void handleException(std::string_view text) = 0;
    /// Called when all queued events are handled and their actions are carried out.
    virtual void handleQueueEmpty() = 0;
};

/// What a decision_loop has done since its construction.
struct decision_work {
    std::uint64_t events = 0;
    /// Time in the decision code.
    duration deciding{};
    /// Time to carry out actions.
    duration actions{};
    /// Time in decision_host::handleQueueEmpty().
    duration flushing{};
};

/// Delivers events to a kernel one at a time, and a timer_expired event at each of its deadlines.
class decision_loop : public event_sink
{
public:
    /// All references must outlive this object.
    decision_loop(kernel &decisions, decision_host &host, event_loop &loop, const clock &clock);
    ~decision_loop() override;
    decision_loop(const decision_loop &) = delete;
    decision_loop &operator=(const decision_loop &) = delete;

    /// Carries out the actions that the kernel returned at its start, and schedules its first deadline.
    void begin(const action_list &firstActions);
    /// May be called while actions are carried out; the event is queued and handled after them.
    void deliver(event event) override;
    void deliverAll(std::vector<event> events) override;
    /// Ignores all later events.
    void close();
    const decision_work &work() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace crocuslane
