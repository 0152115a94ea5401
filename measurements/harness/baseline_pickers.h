#pragma once

#include "kernel/plugin.h"

#include <memory>

namespace crocuslane {

enum class baseline_kind {
    /// Each runner in rotation.
    round_robin,
    /// The runner with the lowest load in its last report.
    least_reported_load,
    /// Of two random runners, the one with fewer requests in progress from this VM.
    two_random_choices,
};

struct baseline_options {
    baseline_kind kind = baseline_kind::two_random_choices;
    /// Hedges after the 95th percentile of the first-token times seen by this VM, without a budget.
    bool isHedging = false;
};

/// Makes a plug-in that offers runner_picker in place of the plug-in routing. It chooses among the runners of the VM's
/// own region by a simple rule, lets requests queue at the runners and retries without a budget.
std::unique_ptr<plugin> makeBaseline(const baseline_options &options);

} // namespace crocuslane
