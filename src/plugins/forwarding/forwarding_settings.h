#pragma once

#include "base/clock.h"

namespace crocuslane {

/// Limits of forwarded requests. Offered by the program to the plug-in forwarding.
struct forwarding_settings {
    /// Repeats of a service in any window, over all VMs: at most this share of its requests ...
    double retryShare = 0.1;
    /// ... and this number.
    double retryAllowance = 10.0;
    duration retryWindow = std::chrono::seconds(10);
    /// After a stop began, new requests are served for this long.
    duration acceptAfterStop = std::chrono::seconds(3);
};

} // namespace crocuslane
