#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>

namespace crocuslane {

struct control_parameters {
    std::size_t vmCount = 6;
    /// Active caller groups and runners in use at every VM.
    unsigned groups = 20;
    unsigned runners = 21;
    duration length = std::chrono::seconds(60);
    std::uint64_t seed = 1;
};

struct control_figures {
    /// Bytes that an entry VM sends to others per second, with frames; over the VMs and after the start.
    double meanBytesPerSecond = 0.0;
    double highestBytesPerSecond = 0.0;
    /// Part of them that goes to other regions.
    double regionalShare = 0.0;
    /// Age of what a VM knows of the demand at another, in seconds; a VM without word of another counts the whole run.
    double medianDemandAge = 0.0;
    double p95DemandAge = 0.0;
    /// Part of the times at which a VM heard more than half of the others within 6 s.
    double majorityShare = 0.0;
};

/// Entry VMs with the plug-in membership on one manual clock. Every message is encoded as on the wire.
control_figures measureControl(const control_parameters &parameters);

} // namespace crocuslane
