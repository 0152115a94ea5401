#include "log/log_standin.h"

#include <boost/program_options.hpp>
#include <fmt/core.h>

using namespace crocuslane;
namespace options = boost::program_options;

int main(int argumentCount, char **arguments)
{
    options::options_description list("Options");
    options::variables_map values;
    standin_arguments common;
    log_standin_settings settings;
    double retentionSeconds = 0.0;
    list.add_options()("appends-per-s",
                       options::value(&settings.appendsPerSecond)->default_value(500.0),
                       "rate limit for appends, per second")("retention-s",
                                                             options::value(&retentionSeconds)->default_value(86400.0),
                                                             "retention time of records, in seconds");
    int exitCode = 0;
    const char *description = "standin-log stands in for the log service; the protocol is in standins/README.md.";
    if (!readArguments(argumentCount, arguments, description, 9000, list, values, common, exitCode)) {
        return exitCode;
    }
    settings.retention = fromSeconds(retentionSeconds);
    try {
        const real_clock clock;
        standin_loop loop;
        log_standin log(loop, clock, settings);
        const standin_server server(loop, common.address, common.port, log);
        fmt::print(stderr, "standin-log: listening on {}:{}\n", common.address, common.port);
        loop.run();
    } catch (const std::exception &error) {
        fmt::print(stderr, "standin-log: {}\n", error.what());
        return 1;
    }
    return 0;
}
