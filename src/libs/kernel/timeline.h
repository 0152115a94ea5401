#pragma once

#include "base/text_id.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace crocuslane {

enum class timeline_kind {
    request_received,
    request_admitted,
    request_queued,
    request_refused,
    attempt_started,
    first_token,
    attempt_ended,
    retried,
    hedged,
    escalated,
    answer_finished,
    claim_appended,
    claim_decided,
    bill_durable,
    configuration_accepted,
    freshness_changed,
    version_suspended,
    duty_changed,
    order_sent,
    member_changed,
    stopping,
};

/// Records events for the timeline, which merges the events of all processes.
class timeline_recorder
{
public:
    virtual ~timeline_recorder() = default;
    /// @p request may be empty; @p detail is a short text of "key=value" pairs.
    virtual void record(timeline_kind kind, const request_id &request, std::string detail) = 0;
};

std::string_view toName(timeline_kind kind);

} // namespace crocuslane
