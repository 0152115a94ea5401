#pragma once

#include "kernel/peer_message.h"
#include "kernel/types.h"

#include <variant>

namespace crocuslane {

enum class admission_tier {
    /// The caller group is inside its bound.
    within_bound,
    /// Beyond the bound: served from idle capacity only, and the first to be refused.
    excess,
};

struct admission_grant {
    admission_tier tier = admission_tier::within_bound;
    /// Among waiting requests of a class and tier, the lowest goes first (fairness between caller groups).
    double virtualStart = 0.0;
};

/// Limits per caller group, shared between the entry VMs. Offered by the plug-in admission.
class admission_controller
{
public:
    virtual ~admission_controller() = default;
    /// Counts the request in when it is granted. @p expectedTokens includes the prompt.
    virtual std::variant<admission_grant, request_error>
    admit(const request_id &request, const caller &caller, const service_id &service, std::uint64_t expectedTokens) = 0;
    /// Counts a granted request out, once.
    virtual void release(const request_id &request) = 0;
    /// For the operators' view by caller group.
    virtual void noteQueued(const request_id &request) = 0;
    /// Demand and use at this VM, to be sent to the other entry VMs.
    virtual std::vector<group_demand> localDemand() const = 0;
    /// Demand and use at another VM, as last heard.
    virtual void setRemoteDemand(const vm_id &vm, const std::vector<group_demand> &demand) = 0;
    virtual void removeRemote(const vm_id &vm) = 0;
};

} // namespace crocuslane
