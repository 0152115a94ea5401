#include "harness/deployment.h"

namespace crocuslane {

namespace {

struct zone {
    std::string_view name;
    std::string_view region;
};

deployment threeZones(std::string name, const std::vector<zone> &zones, unsigned runnersPerZone)
{
    constexpr unsigned vmsPerZone = 2;
    deployment made;
    made.name = std::move(name);
    made.service = service_id("answers");
    made.engine.versions = {version_id("small@1")};
    for (const zone &zone : zones) {
        for (unsigned index = 0; index < vmsPerZone; ++index) {
            made.vms.push_back(
                {"vm-" + std::to_string(made.vms.size() + 1), std::string(zone.name), std::string(zone.region)});
        }
        for (unsigned index = 0; index < runnersPerZone; ++index) {
            made.runners.push_back({"runner-" + std::to_string(made.runners.size() + 1),
                                    std::string(zone.name),
                                    std::string(zone.region)});
        }
    }
    return made;
}

} // namespace

deployment rimalDeployment()
{
    return threeZones("rimal", {{"muscat-a", "muscat"}, {"muscat-b", "muscat"}, {"dhofar-a", "dhofar"}}, 3);
}

deployment ironworksDeployment()
{
    return threeZones("ironworks", {{"munster-a", "munster"}, {"munster-b", "munster"}, {"leinster-a", "leinster"}}, 6);
}

} // namespace crocuslane
