#pragma once

namespace crocuslane {

/// Limits of roll-outs. Offered by the program to the plug-in rollouts.
struct rollout_settings {
    /// Requests that a version may get until it is known to be good, over all VMs: at most this share of the requests
    /// of its service since the order ...
    double exposureShare = 0.15;
    /// ... and this number.
    double exposureAllowance = 30.0;
};

} // namespace crocuslane
