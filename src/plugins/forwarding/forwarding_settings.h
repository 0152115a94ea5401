#pragma once

#include "base/clock.h"

namespace crocuslane {

/// Limits of forwarded requests, which the program offers to the plug-in forwarding.
struct forwarding_settings {
    /// In any retryWindow, all VMs together send at most retryShare times the requests of a service, plus
    /// retryAllowance, as retries.
    double retryShare = 0.1;
    double retryAllowance = 10.0;
    duration retryWindow = std::chrono::seconds(10);
    /// New requests are accepted for this long after a stop was requested.
    duration acceptAfterStop = std::chrono::seconds(3);
};

} // namespace crocuslane
