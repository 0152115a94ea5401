#pragma once

#include "plugins/backends/zone_evacuations.h"
#include "services/backend_picker.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuslane {

struct backend_record;

/// Why a request is not sent to a runner, whether or not the runner has capacity.
enum class placement_obstacle {
    leaving,
    not_in_home_region,
    evacuated_zone,
    other_version,
    already_tried,
};

std::string_view toName(placement_obstacle obstacle);

/// Decides which runners may serve a request. Every selection of a runner passes through it.
class placement_filter
{
public:
    /// @p regions has the region of each availability zone. A runner of another zone is in no home region.
    placement_filter(const zone_evacuations &evacuations, std::map<std::string, std::string> regions);

    /// The first obstacle in the order of the enumeration; empty when the runner may serve the request.
    std::optional<placement_obstacle> obstacle(const backend_record &record,
                                               const backend_requirements &requirements) const;
    /// Why a request is refused at once; empty when one of the service's @p runners may serve it now or later.
    std::optional<refusal_reason> refusal(const std::vector<const backend_record *> &runners,
                                          const backend_requirements &requirements) const;

private:
    std::optional<placement_obstacle> locationObstacle(const backend_entry &entry,
                                                       const backend_requirements &requirements) const;
    bool isInHomeRegion(const std::string &zone, const backend_requirements &requirements) const;

    const zone_evacuations &m_evacuations;
    std::map<std::string, std::string> m_regions;
};

} // namespace crocuslane
