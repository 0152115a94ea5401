#pragma once

#include "kernel/plugin.h"

#include <memory>

namespace crocuslane {

enum class baseline_kind {
    /// Each runner in turn.
    round_robin,
    /// The runner with the least load by its last report.
    least_reported_load,
    /// Of two random runners the one with fewer own requests in progress.
    two_random_choices,
};

struct baseline_options {
    baseline_kind kind = baseline_kind::two_random_choices;
    /// Hedges after the 95th percentile of own first tokens, without a budget.
    bool isHedging = false;
};

/// Simple choice of a runner of the own region, which queues at the runners and retries without a budget. Offers
/// runner_picker in place of the plug-in routing.
std::unique_ptr<plugin> makeBaseline(const baseline_options &options);

} // namespace crocuslane
