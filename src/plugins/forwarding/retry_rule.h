#pragma once

#include "plugins/forwarding/active_request.h"
#include "plugins/forwarding/crash_suspects.h"

namespace crocuslane {

/// Whether the request may be sent once more, apart from the retry budget. @p suspects may be null.
bool mayRetry(const active_request &active, const crash_suspects *suspects, steady_time now);

} // namespace crocuslane
