#pragma once

namespace crocuslane {

/// Limits of rollouts, which the program offers to the plug-in rollouts.
struct rollout_settings {
    /// Until a new version has proved good, all VMs together send it at most exposureShare times the requests of its
    /// service since the order, plus exposureAllowance.
    double exposureShare = 0.15;
    double exposureAllowance = 30.0;
};

} // namespace crocuslane
