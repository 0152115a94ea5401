#pragma once

#include "plugins/forwarding/active_request.h"

namespace crocuslane {

/// When a waiting request is refused, unless it starts before.
steady_time queueDeadline(const active_request &active);
/// Time without a sign of the runner after which an attempt in progress counts as silent.
duration silenceTimeout(const active_request &active);
/// When the request next has to be looked at: its deadline, its queue deadline or its silence timeout.
steady_time nextTimeout(const active_request &active);

} // namespace crocuslane
