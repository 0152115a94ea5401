#pragma once

#include "base/random_source.h"
#include "plugins/backends/backend_table.h"
#include "plugins/backends/reading_speed.h"

#include <string>

namespace crocuslane {

/// Place of this VM.
struct vm_place {
    std::string availabilityZone;
    std::string region;
    /// Region of each availability zone.
    std::map<std::string, std::string> regions;
};

/// Chooses a runner by the expected time to the first part of the answer, and what its bytes on the network cost.
class backend_selector
{
public:
    backend_selector(vm_place place, random_source &random, const reading_speed &speed);

    struct scored {
        backend_record *state = nullptr;
        duration expectedDelay{};
        double cost = 0.0;
    };
    /// Nothing when none of @p candidates has room.
    std::optional<scored>
    select(const std::vector<backend_record *> &candidates, const backend_requirements &need, steady_time now) const;
    /// Whether the rule, the exclusion and the state of the runner let the request go there, with room or not.
    static bool isEligible(const backend_record &state, const backend_requirements &need);
    static bool hasRoom(const backend_record &state, const backend_requirements &need, steady_time now);

private:
    scored score(backend_record &state, const backend_requirements &need, steady_time now) const;
    double distanceMilliseconds(const std::string &availabilityZone) const;

    vm_place m_place;
    random_source &m_random;
    const reading_speed &m_speed;
};

} // namespace crocuslane
