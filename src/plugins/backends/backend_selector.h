#pragma once

#include "base/random_source.h"
#include "plugins/backends/backend_table.h"
#include "plugins/backends/placement_filter.h"
#include "plugins/backends/prefill_speed.h"

#include <string>

namespace crocuslane {

/// Availability zone and region of this VM.
struct vm_location {
    std::string availabilityZone;
    std::string region;
    /// Region of each availability zone.
    std::map<std::string, std::string> regions;
};

/// Selects the runner with the lowest cost: the expected time to the first part of the answer, plus penalties for
/// traffic to other zones and regions and for recent failures.
class backend_selector
{
public:
    backend_selector(vm_location location,
                     random_source &random,
                     const prefill_speed &prefillSpeed,
                     const placement_filter &filter);

    struct scored_backend {
        backend_record *record = nullptr;
        duration expectedDelay{};
        double cost = 0.0;
    };
    /// Returns nothing when no eligible runner of @p candidates has capacity.
    std::optional<scored_backend> select(const std::vector<backend_record *> &candidates,
                                         const backend_requirements &requirements,
                                         steady_time now) const;
    /// True when placement_filter finds no obstacle, whether the runner has capacity or not.
    bool isEligible(const backend_record &record, const backend_requirements &requirements) const;
    static bool hasCapacity(const backend_record &record, const backend_requirements &requirements, steady_time now);

private:
    scored_backend score(backend_record &record, const backend_requirements &requirements, steady_time now) const;
    double networkCostMilliseconds(const std::string &availabilityZone) const;

    vm_location m_location;
    random_source &m_random;
    const prefill_speed &m_prefillSpeed;
    const placement_filter &m_filter;
};

} // namespace crocuslane
