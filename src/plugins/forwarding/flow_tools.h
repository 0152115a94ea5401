#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "services/backend_picker.h"
#include "services/member_view.h"
#include "services/rollout_policy.h"
#include "services/route_source.h"

namespace crocuslane {

/// What the flow of forwarded requests works with. The pointers are set once all plug-ins are initialized.
struct flow_tools {
    const clock *time = nullptr;
    random_source *random = nullptr;
    route_source *routes = nullptr;
    backend_picker *backends = nullptr;
    /// Null when no roll-outs are made.
    rollout_policy *rollouts = nullptr;
    /// Null when the VM is alone.
    member_view *members = nullptr;
};

} // namespace crocuslane
