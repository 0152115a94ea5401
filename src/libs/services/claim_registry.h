#pragma once

#include "kernel/types.h"

namespace crocuslane {

/// Claims on the log for calls that may run at most once. Offered by the plug-in claims.
class claim_registry
{
public:
    virtual ~claim_registry() = default;
    /// Answered by exactly one claim_decided event with the id of the request, in this step or a later one.
    virtual void claim(const service_call &call, const caller &caller) = 0;
    /// Call directly before a granted call is sent. False when the grant has expired; the call is recorded as not run
    /// then.
    virtual bool confirmSend(const request_id &request) = 0;
    /// Records the outcome of a granted call. An empty @p body with status 0 states that the answer was lost; the
    /// outcome stays unknown.
    virtual void recordOutcome(const request_id &request, std::uint32_t status, const std::string &body) = 0;
    /// Records that a granted call was certainly not sent.
    virtual void recordNotRun(const request_id &request) = 0;
};

} // namespace crocuslane
