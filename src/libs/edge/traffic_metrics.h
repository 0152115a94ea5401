#pragma once

#include "base/clock.h"
#include "kernel/action.h"
#include "kernel/event.h"

#include <memory>
#include <string>

namespace crocuslane {

/// Counters and histograms of one entry VM, updated from its events and actions.
class traffic_metrics
{
public:
    explicit traffic_metrics(const clock &clock);
    ~traffic_metrics();

    void observe(const event &event);
    void observe(const action &action);
    /// Records the time that the decision code took to handle one event.
    void observeStep(duration time);
    /// Records how late the event loop called a timer.
    void observeLoopDelay(duration delay);
    /// Counts a message from outside whose handling threw an exception.
    void countException();
    void setPeerBytesSent(std::uint64_t bytes);
    void setEvacuatedZones(std::size_t count);

    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace crocuslane
