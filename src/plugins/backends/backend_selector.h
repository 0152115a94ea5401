#pragma once

#include "base/random_source.h"
#include "plugins/backends/load_estimate.h"
#include "plugins/backends/placement_filter.h"
#include "plugins/backends/prefill_speed.h"
#include "plugins/backends/runner_choice.h"
#include "plugins/backends/runner_speeds.h"

#include <memory>
#include <string>

namespace crocuslane {

/// Availability zone and region of this VM.
struct vm_location {
    std::string availabilityZone;
    std::string region;
    /// Region of each availability zone.
    std::map<std::string, std::string> regions;
};

/// How load is estimated and a runner is chosen among those that could take a request.
struct selection_rules {
    std::shared_ptr<const load_estimate> load;
    /// Of runners that run a model engine.
    std::shared_ptr<const runner_choice> choice;
    /// Of runners of plain services, weighted by cost so that a slow runner gets requests in proportion to its speed.
    std::shared_ptr<const runner_choice> plainChoice;
    /// The runner preferred for a prompt part has at most this many times the mean requests of the runners that could
    /// take the request; beyond it, the next one is preferred.
    double preferredLoadLimit = 0.0;
    /// So many requests more are allowed when the counts are exact, and one when they say nothing: the other VMs send
    /// to the runner too until they know of each other's requests.
    double preferredAllowance = 1.0;
};

/// Those that were compared best in docs/design/even-load.md.
selection_rules defaultSelectionRules();

/// Selects the runner with the lowest cost: the expected time to the first part of the answer, plus penalties for
/// traffic to other zones and regions and for recent failures.
class backend_selector
{
public:
    backend_selector(vm_location location,
                     random_source &random,
                     const prefill_speed &prefillSpeed,
                     const placement_filter &filter,
                     const runner_speeds &speeds,
                     selection_rules rules = defaultSelectionRules());

    /// Returns nothing when no eligible runner of @p candidates has capacity.
    std::optional<scored_backend> select(const std::vector<backend_record *> &candidates,
                                         const backend_requirements &requirements,
                                         steady_time now) const;
    /// True when placement_filter finds no obstacle, whether the runner has capacity or not.
    bool isEligible(const backend_record &record, const backend_requirements &requirements) const;
    static bool hasCapacity(const backend_record &record, const backend_requirements &requirements, steady_time now);

private:
    scored_backend score(backend_record &record, const backend_requirements &requirements, steady_time now) const;
    /// Reduces the cost of the runner that all VMs prefer for the prompt's shared part.
    void preferCached(std::vector<scored_backend> &available,
                      const backend_requirements &requirements,
                      steady_time now) const;
    double networkCostMilliseconds(const std::string &availabilityZone) const;

    vm_location m_location;
    random_source &m_random;
    const prefill_speed &m_prefillSpeed;
    const placement_filter &m_filter;
    const runner_speeds &m_speeds;
    selection_rules m_rules;
};

} // namespace crocuslane
