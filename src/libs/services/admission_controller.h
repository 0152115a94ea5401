#pragma once

#include "kernel/peer_message.h"
#include "kernel/types.h"

#include <variant>

namespace crocuslane {

/// Whether an admitted request counts towards its caller group's limits.
enum class admission_tier {
    /// The caller group is within its limits at this VM.
    within_bound,
    /// The caller group is above its limits at this VM: the request is served from idle capacity only and is refused
    /// first.
    excess,
};

struct admission_grant {
    admission_tier tier = admission_tier::within_bound;
    /// Virtual start time of start-time fair queueing between caller groups: among waiting requests of the same class
    /// and tier, the lowest is served first.
    double virtualStart = 0.0;
};

/// Limits per caller group, shared between the entry VMs. Offered by the plug-in admission.
class admission_controller
{
public:
    virtual ~admission_controller() = default;
    /// Admits or refuses a request; an admitted one counts as in progress until release(). @p expectedTokens includes
    /// the prompt.
    virtual std::variant<admission_grant, request_error>
    admit(const request_id &request, const caller &caller, const service_id &service, std::uint64_t expectedTokens) = 0;
    /// Ends the accounting of an admitted request. Call once.
    virtual void release(const request_id &request) = 0;
    /// Counts a request that has to wait, for the status of its caller group.
    virtual void noteQueued(const request_id &request) = 0;
    /// Demand and use of the caller groups at this VM, to be sent to the other entry VMs.
    virtual std::vector<group_demand> localDemand() const = 0;
    /// Stores the demand and use that another entry VM last reported.
    virtual void setRemoteDemand(const vm_id &vm, const std::vector<group_demand> &demand) = 0;
    virtual void removeRemote(const vm_id &vm) = 0;
};

} // namespace crocuslane
