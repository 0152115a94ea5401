#include "weights/weight_standin.h"

#include <boost/program_options.hpp>
#include <fmt/core.h>

using namespace crocuslane;
namespace options = boost::program_options;

int main(int argumentCount, char **arguments)
{
    options::options_description list("Options");
    options::variables_map values;
    standin_arguments common;
    weight_standin_settings settings;
    list.add_options()("version-bytes",
                       options::value(&settings.versionBytes)->default_value(settings.versionBytes),
                       "size of each version, in bytes")(
        "bytes-per-s",
        options::value(&settings.bytesPerSecond)->default_value(settings.bytesPerSecond),
        "rate of all transfers together, in bytes per second")(
        "transfers",
        options::value(&settings.maximumTransfers)->default_value(settings.maximumTransfers),
        "maximum number of concurrent transfers; further requests get status 429");
    int exitCode = 0;
    const char *description = "standin-weights stands in for the weight store; the protocol is in standins/README.md.";
    if (!readArguments(argumentCount, arguments, description, 9003, list, values, common, exitCode)) {
        return exitCode;
    }
    try {
        const real_clock clock;
        standin_loop loop;
        weight_standin weights(clock, settings);
        const standin_server server(loop, common.address, common.port, weights);
        loop.add(weights);
        fmt::print(stderr, "standin-weights: listening on {}:{}\n", common.address, common.port);
        loop.run();
    } catch (const std::exception &error) {
        fmt::print(stderr, "standin-weights: {}\n", error.what());
        return 1;
    }
    return 0;
}
