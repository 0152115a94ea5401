#pragma once

#include "base/clock.h"
#include "kernel/runner_key.h"

#include <cstdint>
#include <optional>

namespace crocuslane {

/// Requests per second that a runner process may get from all entry VMs together.
struct runner_limit {
    enum class sharing {
        /// The VMs alive share the limit; one VM may send a second's share at once.
        live_vms,
        /// All listed VMs share the limit, also those without contact; one VM sends one request at a time.
        listed_vms,
    };

    double requestsPerSecond = 0.0;
    sharing sharedBy = sharing::live_vms;
    /// With another turn other VMs share the limit.
    std::uint64_t turn = 0;
    /// When the limit ends; empty when not known.
    std::optional<steady_time> until = {};
};

/// Knows limits of runner processes.
class runner_limit_source
{
public:
    virtual ~runner_limit_source() = default;
    /// Empty when no limit is known.
    virtual std::optional<runner_limit> limitOf(runner_key runner, steady_time now) const = 0;
    /// Whether any runner may have a limit.
    virtual bool hasLimits(steady_time now) const = 0;
};

} // namespace crocuslane
