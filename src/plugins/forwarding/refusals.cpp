#include "plugins/forwarding/refusals.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::chrono::milliseconds minimumRetryAfter{300};
constexpr std::uint64_t retryAfterJitterMilliseconds = 900;
// Other entry VMs can take the request at once.
constexpr std::chrono::milliseconds retryAfterWhenStopping{50};
// An isolated request, or one with an isolated prompt part, is refused again until the release, which takes half a
// minute at least.
constexpr std::chrono::milliseconds isolatedRetryAfter{15'000};

// A rate that has fallen for a moment must not keep callers away for minutes.
constexpr std::chrono::seconds longestBacklogDelay{30};

} // namespace

duration retryAfter(refusal_reason reason, random_source &random)
{
    if (reason == refusal_reason::stopping) {
        return retryAfterWhenStopping;
    }
    if (reason == refusal_reason::prompt_part_isolated || reason == refusal_reason::request_isolated) {
        return isolatedRetryAfter + std::chrono::milliseconds(random.below(isolatedRetryAfter.count()));
    }
    // The jitter keeps callers that were refused together from retrying together.
    return minimumRetryAfter + std::chrono::milliseconds(random.below(retryAfterJitterMilliseconds));
}

duration spreadOverBacklog(duration backlog, random_source &random)
{
    return fromSeconds(random.unit() * toSeconds(std::min<duration>(backlog, longestBacklogDelay)));
}

std::optional<refusal_reason> refusalOf(crash_suspects::verdict verdict)
{
    switch (verdict) {
    case crash_suspects::verdict::part_isolated:
        return refusal_reason::prompt_part_isolated;
    case crash_suspects::verdict::request_isolated:
        return refusal_reason::request_isolated;
    case crash_suspects::verdict::probe:
    case crash_suspects::verdict::allowed:
        break;
    }
    return std::nullopt;
}

} // namespace crocuslane
