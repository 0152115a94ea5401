#pragma once

#include "kernel/event.h"

namespace crocuslane {

/// Takes what the edge learned to the decision code.
class event_sink
{
public:
    virtual ~event_sink() = default;
    /// May be called while actions are carried out; the event is handled after them.
    virtual void deliver(event event) = 0;
};

} // namespace crocuslane
