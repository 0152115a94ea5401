#include "plugins/forwarding/retry_rule.h"

namespace crocuslane {

namespace {

// A request with less time before its deadline is not sent again: the answer would come too late.
constexpr std::chrono::milliseconds minimumTimeLeft{30};

} // namespace

bool mayRetry(const active_request &active, const crash_suspects *suspects, steady_time now)
{
    const bool isAllowed =
        !active.hasUnnumberedEvent && (isRepeatable(active.route().kind) || active.attemptsThatMayHaveRun == 0);
    const bool mayRepeat = suspects == nullptr || suspects->mayRepeat(active.request, active.lostRunners);
    return isAllowed && mayRepeat && active.attempts < active.route().maximumAttempts
        && active.deadline - now > minimumTimeLeft;
}

} // namespace crocuslane
