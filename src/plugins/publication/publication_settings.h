#pragma once

#include "base/clock.h"

#include <string>

namespace crocuslane {

/// Publication settings of a deployment. The daemon offers them in the service registry before the start.
struct publication_settings {
    /// A VM that could not confirm its configuration for this long takes no new requests.
    duration freshnessLimit = std::chrono::seconds(6);
    /// How long the log service keeps records.
    duration retention = std::chrono::hours(24);
    /// SHA-256 of the key that may publish the first version. If empty, anyone may (development only).
    std::string bootstrapKeyHash;
};

/// Disables single mechanisms, so that the proof program can show that its checks detect their absence. No setting of
/// the daemon changes these values.
struct publication_controls {
    bool comparesVersions = true;
    bool checksFreshness = true;
};

} // namespace crocuslane
