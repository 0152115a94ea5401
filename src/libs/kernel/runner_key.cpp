#include "kernel/runner_key.h"

#include <xxhash.h>

namespace crocuslane {

runner_key keyOf(const runner_id &runner, std::int64_t startedUnixMilliseconds)
{
    return XXH3_64bits_withSeed(
        runner.value().data(), runner.value().size(), static_cast<std::uint64_t>(startedUnixMilliseconds));
}

} // namespace crocuslane
