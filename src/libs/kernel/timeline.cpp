#include "kernel/timeline.h"

#include "base/name_table.h"

namespace crocuslane {

namespace {

constexpr auto timelineKindNames = makeNameTable<timeline_kind>({
    {timeline_kind::request_received, "request_received"},
    {timeline_kind::request_admitted, "request_admitted"},
    {timeline_kind::request_queued, "request_queued"},
    {timeline_kind::request_refused, "request_refused"},
    {timeline_kind::attempt_started, "attempt_started"},
    {timeline_kind::first_token, "first_token"},
    {timeline_kind::attempt_ended, "attempt_ended"},
    {timeline_kind::retried, "retried"},
    {timeline_kind::hedged, "hedged"},
    {timeline_kind::escalated, "escalated"},
    {timeline_kind::answer_finished, "answer_finished"},
    {timeline_kind::claim_appended, "claim_appended"},
    {timeline_kind::claim_decided, "claim_decided"},
    {timeline_kind::bill_durable, "bill_durable"},
    {timeline_kind::configuration_accepted, "configuration_accepted"},
    {timeline_kind::freshness_changed, "freshness_changed"},
    {timeline_kind::version_suspended, "version_suspended"},
    {timeline_kind::duty_changed, "duty_changed"},
    {timeline_kind::order_sent, "order_sent"},
    {timeline_kind::member_changed, "member_changed"},
    {timeline_kind::stopping, "stopping"},
});

} // namespace

std::string_view toName(timeline_kind kind)
{
    return timelineKindNames.name(kind);
}

} // namespace crocuslane
