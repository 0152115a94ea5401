#include "vms/vm_list_standin.h"

#include <boost/program_options.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <fstream>

using namespace crocuslane;
namespace options = boost::program_options;

int main(int argumentCount, char **arguments)
{
    options::options_description list("Options");
    options::variables_map values;
    standin_arguments common;
    std::string file;
    std::uint32_t lagMilliseconds = 0;
    list.add_options()("file", options::value(&file), "JSON file with the initial list, {\"vms\": […]}")(
        "lag-ms",
        options::value(&lagMilliseconds)->default_value(1000),
        "time until a change is readable, in milliseconds");
    int exitCode = 0;
    const char *description = "standin-vms stands in for the VM list; the protocol is in standins/README.md.";
    if (!readArguments(argumentCount, arguments, description, 9001, list, values, common, exitCode)) {
        return exitCode;
    }
    try {
        nlohmann::json entries = nlohmann::json::array();
        if (!file.empty()) {
            std::ifstream input(file);
            if (!input) {
                throw std::runtime_error("can't read " + file);
            }
            entries = nlohmann::json::parse(input).at("vms");
        }
        const real_clock clock;
        standin_loop loop;
        vm_list_standin vms(clock, std::chrono::milliseconds(lagMilliseconds), entries);
        const standin_server server(loop, common.address, common.port, vms);
        fmt::print(stderr, "standin-vms: listening on {}:{}\n", common.address, common.port);
        loop.run();
    } catch (const std::exception &error) {
        fmt::print(stderr, "standin-vms: {}\n", error.what());
        return 1;
    }
    return 0;
}
