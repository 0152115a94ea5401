#pragma once

#include "kernel/event.h"

#include <utility>
#include <vector>

namespace crocuslane {

/// Receives the events of the edge for the decision code.
class event_sink
{
public:
    virtual ~event_sink() = default;
    /// May be called while actions are carried out; the event is queued and handled after them.
    virtual void deliver(event event) = 0;
    /// The same for several events that arrived together, which costs less than one call for each.
    virtual void deliverAll(std::vector<event> events)
    {
        for (event &each : events) {
            deliver(std::move(each));
        }
    }
};

} // namespace crocuslane
