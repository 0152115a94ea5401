#pragma once

#include "base/clock.h"
#include "edge/event_sink.h"
#include "kernel/action.h"

#include <functional>
#include <memory>

namespace crocuslane {

class event_loop;
class kernel;

/// Carries out the actions of a kernel, and watches its steps.
class decision_host
{
public:
    virtual ~decision_host() = default;
    /// Before the kernel gets the event.
    virtual void observe(const event &event) = 0;
    virtual void observeStep(duration processorTime) = 0;
    virtual void carryOut(const action &action) = 0;
    /// All events so far are handled.
    virtual void handleQueueEmpty() = 0;
};

/// Feeds a kernel with events, one at a time, and with timer events at its deadlines.
class decision_loop : public event_sink
{
public:
    /// All references must outlive this object.
    decision_loop(kernel &decisions, decision_host &host, event_loop &loop, const clock &clock);
    ~decision_loop() override;
    decision_loop(const decision_loop &) = delete;
    decision_loop &operator=(const decision_loop &) = delete;

    /// Carries out the actions of the start of the kernel and waits for its first deadline.
    void begin(const action_list &firstActions);
    /// May be called while actions are carried out; the event is handled after them.
    void deliver(event event) override;
    /// Events are ignored from now on.
    void close();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace crocuslane
