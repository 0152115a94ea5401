#pragma once

#include "kernel/peer_message.h"
#include "kernel/types.h"

#include <vector>

namespace crocuslane {

/// Exchanges the number of requests in progress per runner with the other entry VMs. Offered by the plug-in that
/// selects runners, which depends on the set of plug-ins.
class runner_use_exchange
{
public:
    virtual ~runner_use_exchange() = default;
    /// Requests of this VM in progress per runner, to be sent to the other entry VMs.
    virtual std::vector<runner_use> localUse() const = 0;
    /// Stores the use that another entry VM last reported.
    virtual void setRemoteUse(const vm_id &vm, const std::vector<runner_use> &use) = 0;
    virtual void removeRemote(const vm_id &vm) = 0;
};

} // namespace crocuslane
