#pragma once

#include "kernel/event.h"

namespace crocuslane {

/// Receives the events of the edge for the decision code.
class event_sink
{
public:
    virtual ~event_sink() = default;
    /// May be called while actions are carried out; the event is queued and handled after them.
    virtual void deliver(event event) = 0;
};

} // namespace crocuslane
