#pragma once

#include "base/deadline_set.h"
#include "kernel/plugin.h"
#include "plugins/requests/dispatch_queue.h"
#include "services/admission_controller.h"
#include "services/bill_ledger.h"
#include "services/claim_registry.h"
#include "services/configuration_source.h"
#include "services/runner_picker.h"
#include "services/version_chooser.h"

namespace crocuslane {

/// Services of other plug-ins; null when the process runs without that plug-in.
struct request_services {
    configuration_source *configuration = nullptr;
    version_chooser *versions = nullptr;
    admission_controller *admission = nullptr;
    runner_picker *picker = nullptr;
    claim_registry *claims = nullptr;
    bill_ledger *bills = nullptr;
};

/// State shared by the flows of model requests and of plain calls.
struct flow_environment {
    static constexpr std::size_t queueCapacity = 4096;

    explicit flow_environment(plugin_context &pluginContext)
        : context(pluginContext)
    {
    }

    plugin_context &context;
    request_services services;
    dispatch_queue queue{queueCapacity};
    deadline_set deadlines;
    attempt_number lastAttempt = 0;
    bool isStopping = false;
    /// Set when a queued request may be able to start since the last dispatch round.
    bool isDispatchPending = false;
    /// Requests that were queued in this step.
    std::vector<request_id> enqueued;
    /// Requests that were displaced from the full queue in this step.
    std::vector<request_id> displaced;

    steady_time now() const
    {
        return context.time.steadyNow();
    }

    bool isFresh() const
    {
        return services.configuration && services.configuration->mayTakeRequests();
    }
};

/// Maximum time that a request of the class waits for a runner.
duration queueTimeout(request_class urgency);
/// Maximum number of attempts per request, including the first.
constexpr unsigned maximumAttempts = 4;

} // namespace crocuslane
