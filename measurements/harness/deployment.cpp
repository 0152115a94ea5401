#include "harness/deployment.h"

namespace crocuslane {

namespace {

struct zone {
    std::string_view name;
    std::string_view region;
};

deployment_parameters makeDeployment(std::string name, const std::vector<zone> &zones, unsigned runnersPerZone)
{
    constexpr unsigned vmsPerZone = 2;
    deployment_parameters deployment;
    deployment.name = std::move(name);
    deployment.service = service_id("answers");
    deployment.engine.versions = {version_id("small@1")};
    for (const zone &zone : zones) {
        for (unsigned index = 0; index < vmsPerZone; ++index) {
            deployment.vms.push_back(
                {"vm-" + std::to_string(deployment.vms.size() + 1), std::string(zone.name), std::string(zone.region)});
        }
        for (unsigned index = 0; index < runnersPerZone; ++index) {
            deployment.runners.push_back({"runner-" + std::to_string(deployment.runners.size() + 1),
                                          std::string(zone.name),
                                          std::string(zone.region)});
        }
    }
    return deployment;
}

} // namespace

deployment_parameters rimalDeployment()
{
    return makeDeployment("rimal", {{"muscat-a", "muscat"}, {"muscat-b", "muscat"}, {"dhofar-a", "dhofar"}}, 3);
}

deployment_parameters ironworksDeployment()
{
    return makeDeployment(
        "ironworks", {{"munster-a", "munster"}, {"munster-b", "munster"}, {"leinster-a", "leinster"}}, 6);
}

} // namespace crocuslane
