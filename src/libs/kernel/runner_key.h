#pragma once

#include "base/text_id.h"

#include <cstdint>

namespace crocuslane {

/// Identifies one process of a runner: a hash of the runner's id and the start time of the process. All entry VMs
/// compute the same.
using runner_key = std::uint64_t;

/// @p startedUnixMilliseconds is 0 when the platform doesn't state it.
runner_key keyOf(const runner_id &runner, std::int64_t startedUnixMilliseconds);

} // namespace crocuslane
