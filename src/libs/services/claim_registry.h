#pragma once

#include "kernel/types.h"

namespace crocuslane {

/// Calls that may not be repeated. Offered by the plug-in claims.
class claim_registry
{
public:
    virtual ~claim_registry() = default;
    /// Answered by exactly one claim_decided event with the id of the request, in this step or a later one.
    virtual void claim(const service_call &call, const caller &caller) = 0;
    /// Directly before the granted call is sent: false when the grant is too old; not_run was recorded then.
    virtual bool confirmSend(const request_id &request) = 0;
    /// Outcome of a granted call. Empty @p body and status 0: the answer was lost, the outcome stays unknown.
    virtual void recordOutcome(const request_id &request, std::uint32_t status, const std::string &body) = 0;
    /// A granted call was certainly not sent.
    virtual void recordNotRun(const request_id &request) = 0;
};

} // namespace crocuslane
