#include "plugins/backends/placement_filter.h"

#include "base/name_table.h"
#include "plugins/backends/backend_table.h"

namespace crocuslane {

namespace {

constexpr auto obstacleNames = makeNameTable<placement_obstacle>({
    {placement_obstacle::leaving, "leaving"},
    {placement_obstacle::evacuated_zone, "evacuated_zone"},
    {placement_obstacle::not_in_home_region, "not_in_home_region"},
    {placement_obstacle::other_version, "other_version"},
    {placement_obstacle::already_tried, "already_tried"},
});

bool isTried(const backend_entry &entry, const backend_requirements &requirements)
{
    return requirements.excluded != nullptr && requirements.excluded->contains(entry.id);
}

/// Runners that could serve a request, were it not for their location.
struct location_summary {
    bool hasUsable = false;
    bool hasEvacuated = false;
    bool hasElsewhere = false;

    void add(std::optional<placement_obstacle> obstacle)
    {
        hasUsable = hasUsable || !obstacle;
        hasEvacuated = hasEvacuated || obstacle == placement_obstacle::evacuated_zone;
        hasElsewhere = hasElsewhere || obstacle == placement_obstacle::not_in_home_region;
    }

    /// Empty when a runner is usable, or when no location is the reason that none is.
    std::optional<refusal_reason> refusal() const
    {
        if (hasUsable || (!hasEvacuated && !hasElsewhere)) {
            return std::nullopt;
        }
        return hasEvacuated ? refusal_reason::runners_evacuated : refusal_reason::no_runner_at_home;
    }
};

} // namespace

std::string_view toName(placement_obstacle obstacle)
{
    return obstacleNames.name(obstacle);
}

placement_filter::placement_filter(const zone_evacuations &evacuations, std::map<std::string, std::string> regions)
    : m_evacuations(evacuations)
    , m_regions(std::move(regions))
{
}

std::optional<placement_obstacle> placement_filter::obstacle(const backend_record &record,
                                                             const backend_requirements &requirements) const
{
    const backend_entry &entry = record.entry;
    if (record.isLeaving()) {
        return placement_obstacle::leaving;
    }
    if (const auto found = locationObstacle(entry, requirements)) {
        return found;
    }
    if (!requirements.versions.allows(entry.version)) {
        return placement_obstacle::other_version;
    }
    return isTried(entry, requirements) ? std::optional(placement_obstacle::already_tried) : std::nullopt;
}

std::optional<placement_obstacle> placement_filter::locationObstacle(const backend_entry &entry,
                                                                     const backend_requirements &requirements) const
{
    // An evacuated zone outside the home regions is no place for the request after its evacuation either.
    if (!isInHomeRegion(entry.availabilityZone, requirements)) {
        return placement_obstacle::not_in_home_region;
    }
    return m_evacuations.isEvacuated(entry.availabilityZone) ? std::optional(placement_obstacle::evacuated_zone)
                                                             : std::nullopt;
}

bool placement_filter::isInHomeRegion(const std::string &zone, const backend_requirements &requirements) const
{
    if (requirements.homeRegions == nullptr) {
        return true;
    }
    const auto region = m_regions.find(zone);
    return region != m_regions.end() && requirements.homeRegions->contains(region->second);
}

std::optional<refusal_reason> placement_filter::refusal(const std::vector<const backend_record *> &runners,
                                                        const backend_requirements &requirements) const
{
    location_summary allowedVersions;
    location_summary allVersions;
    bool hasUntried = false;
    for (const backend_record *record : runners) {
        const backend_entry &entry = record->entry;
        if (record->isLeaving()) {
            continue;
        }
        if (!obstacle(*record, requirements)) {
            return std::nullopt;
        }
        const auto location = locationObstacle(entry, requirements);
        allVersions.add(location);
        // Requests of a trial use the other versions while the one on trial has no runner.
        if (requirements.versions.isTrial || requirements.versions.allows(entry.version)) {
            allowedVersions.add(location);
        }
        hasUntried = hasUntried || (!location && !isTried(entry, requirements));
    }
    if (const auto reason = allowedVersions.refusal()) {
        return reason;
    }
    // A runner of another version may be used once the roll-out goes on.
    return hasUntried ? std::nullopt : std::optional(allVersions.refusal().value_or(refusal_reason::no_runner));
}

} // namespace crocuslane
