#pragma once

#include "kernel/types.h"

namespace crocuslane {

/// Leases of duties that one entry VM has at a time. Offered by the plug-in duties.
class duty_leases
{
public:
    virtual ~duty_leases() = default;
    /// Starts to compete for a duty.
    virtual void requestLease(const std::string &duty) = 0;
    /// Fencing number while this VM holds the duty by its own clock, nothing otherwise. Ask directly before each use.
    virtual std::optional<log_offset> fencing(const std::string &duty) const = 0;
};

} // namespace crocuslane
