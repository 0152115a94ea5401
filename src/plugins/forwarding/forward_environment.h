#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "plugins/forwarding/crash_suspects.h"
#include "services/backend_picker.h"
#include "services/member_view.h"
#include "services/rollout_policy.h"
#include "services/route_source.h"

namespace crocuslane {

/// Services and sources that forward_flow uses. The pointers are set when the plug-in starts, once all plug-ins are
/// initialized.
struct forward_environment {
    const clock *time = nullptr;
    random_source *random = nullptr;
    route_source *routes = nullptr;
    backend_picker *backends = nullptr;
    /// Null when the plug-in rollouts is not loaded.
    rollout_policy *rollouts = nullptr;
    /// Null when this VM runs without other entry VMs.
    member_view *members = nullptr;
    /// Null when no prompt part is suspected of crashing runners, in tests.
    crash_suspects *suspects = nullptr;
};

} // namespace crocuslane
