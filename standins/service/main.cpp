#include "service/service_standin.h"

#include <boost/program_options.hpp>
#include <fmt/core.h>

#include <list>

using namespace crocuslane;
namespace options = boost::program_options;

int main(int argumentCount, char **arguments)
{
    options::options_description list("Options");
    options::variables_map values;
    standin_arguments common;
    service_standin_settings settings;
    std::uint32_t instances = 1;
    std::uint32_t callMilliseconds = 20;
    list.add_options()("instances",
                       options::value(&instances)->default_value(1),
                       "number of services, on consecutive ports from --port")(
        "slots", options::value(&settings.slots)->default_value(settings.slots), "maximum number of running calls")(
        "queue",
        options::value(&settings.maximumQueue)->default_value(settings.maximumQueue),
        "maximum number of queued calls")(
        "call-ms", options::value(&callMilliseconds)->default_value(20), "duration of a call, in milliseconds");
    int exitCode = 0;
    const char *description = "standin-service simulates plain services; the protocol is in standins/README.md.";
    if (!readArguments(argumentCount, arguments, description, 9200, list, values, common, exitCode)) {
        return exitCode;
    }
    settings.callTime = std::chrono::milliseconds(callMilliseconds);
    try {
        const real_clock clock;
        standin_loop loop;
        std::list<service_standin> services;
        std::list<standin_server> servers;
        for (std::uint32_t index = 0; index < instances; ++index) {
            service_standin &service = services.emplace_back(loop, clock, settings);
            servers.emplace_back(loop, common.address, static_cast<std::uint16_t>(common.port + index), service);
        }
        fmt::print(stderr,
                   "standin-service: {} services, listening on {}:{} and the following ports\n",
                   instances,
                   common.address,
                   common.port);
        loop.run();
    } catch (const std::exception &error) {
        fmt::print(stderr, "standin-service: {}\n", error.what());
        return 1;
    }
    return 0;
}
