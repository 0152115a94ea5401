#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>

namespace crocuslane {

struct control_parameters {
    std::size_t vmCount = 6;
    /// Number of active caller groups and of runners in use at every VM.
    unsigned groups = 20;
    unsigned runners = 21;
    /// Measured time, without the warm-up.
    duration length = std::chrono::seconds(60);
    std::uint64_t seed = 1;
};

struct control_figures {
    /// Bytes that an entry VM sends to other entry VMs per second, frame headers included, after the warm-up: mean and
    /// maximum over the VMs.
    double meanBytesPerSecond = 0.0;
    double highestBytesPerSecond = 0.0;
    /// Share of these bytes that goes to other regions.
    double interRegionShare = 0.0;
    /// Age in seconds of the last demand report of another VM; a missing report counts as the length of the run.
    double medianDemandAge = 0.0;
    double p95DemandAge = 0.0;
    /// Share of the samples in which a VM had contact with a majority of the entry VMs within the last 6 s.
    double majorityShare = 0.0;
};

/// Measures the messages between entry VMs with the plug-in membership on one manual clock. Every message is encoded in
/// the wire format, so that byte counts are real.
control_figures measureControl(const control_parameters &parameters);

} // namespace crocuslane
