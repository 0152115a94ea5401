#include "kernel/forward_types.h"

#include "base/name_table.h"
#include "kernel/action.h"

namespace crocuslane {

namespace {

constexpr auto answerIdentityNames = makeNameTable<answer_identity>({
    {answer_identity::none, "none"},
    {answer_identity::own, "own"},
    {answer_identity::other, "other"},
});

constexpr auto routeKindNames = makeNameTable<route_kind>({
    {route_kind::idempotent, "idempotent"},
    {route_kind::non_idempotent, "non_idempotent"},
    {route_kind::stream, "stream"},
    {route_kind::resumable_stream, "resumable_stream"},
});

constexpr auto rolloutPhaseNames = makeNameTable<rollout_phase>({
    {rollout_phase::canary, "canary"},
    {rollout_phase::cutover, "cutover"},
    {rollout_phase::completed, "completed"},
    {rollout_phase::rolled_back, "rolled_back"},
});

constexpr auto refusalReasonNames = makeNameTable<refusal_reason>({
    {refusal_reason::no_configuration, "no_configuration"},
    {refusal_reason::no_route, "no_route"},
    {refusal_reason::unknown_key, "unknown_key"},
    {refusal_reason::no_runner, "no_runner"},
    {refusal_reason::no_capacity, "no_capacity"},
    {refusal_reason::stopping, "stopping"},
    {refusal_reason::deadline_not_run, "deadline_not_run"},
    {refusal_reason::deadline_may_have_run, "deadline_may_have_run"},
    {refusal_reason::attempts_exhausted_not_run, "attempts_exhausted_not_run"},
    {refusal_reason::attempts_exhausted_may_have_run, "attempts_exhausted_may_have_run"},
    {refusal_reason::prompt_part_isolated, "prompt_part_isolated"},
    {refusal_reason::request_isolated, "request_isolated"},
    {refusal_reason::runners_at_limit, "runners_at_limit"},
    {refusal_reason::runners_evacuated, "runners_evacuated"},
    {refusal_reason::no_runner_at_home, "no_runner_at_home"},
    {refusal_reason::queueing_delay_too_long, "queueing_delay_too_long"},
});

} // namespace

bool isRepeatable(route_kind kind)
{
    return kind == route_kind::idempotent || kind == route_kind::resumable_stream;
}

bool isStream(route_kind kind)
{
    return kind == route_kind::stream || kind == route_kind::resumable_stream;
}

std::string_view toName(route_kind kind)
{
    return routeKindNames.name(kind);
}

std::string_view toName(rollout_phase phase)
{
    return rolloutPhaseNames.name(phase);
}

std::string_view toName(refusal_reason reason)
{
    return refusalReasonNames.name(reason);
}

std::string_view toName(answer_identity identity)
{
    return answerIdentityNames.name(identity);
}

} // namespace crocuslane
