#pragma once

#include "kernel/types.h"

namespace crocuslane {

/// Leases of duties, which are tasks that only one entry VM does at a time. Offered by the plug-in duties.
class duty_leases
{
public:
    virtual ~duty_leases() = default;
    /// Starts to compete with the other entry VMs for the lease of a duty; duty_changed events follow.
    virtual void requestLease(const std::string &duty) = 0;
    /// Fencing token of the lease, or empty when another VM has the lease or it has expired by this VM's clock. Call
    /// directly before each use.
    virtual std::optional<log_offset> fencing(const std::string &duty) const = 0;
};

} // namespace crocuslane
