#pragma once

#include "base/random_source.h"
#include "kernel/action.h"
#include "plugins/forwarding/crash_suspects.h"

#include <optional>

namespace crocuslane {

/// Time after which the caller of a request refused for @p reason should retry, spread at random.
duration retryAfter(refusal_reason reason, random_source &random);

/// Random part of @p backlog, the time in which the requests that wait now will have started. Callers that are refused
/// together so return as the backlog shrinks, and not all at its end.
duration spreadOverBacklog(duration backlog, random_source &random);
/// Empty for a request that may be sent.
std::optional<refusal_reason> refusalOf(crash_suspects::verdict verdict);

} // namespace crocuslane
