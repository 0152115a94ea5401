#include "measure/measurement.h"

#include <boost/program_options.hpp>
#include <fmt/core.h>

#include <iostream>
#include <map>

namespace crocuslane {

namespace {

// Function-local, because registrars in other files may run before the globals of this file are initialized.
std::map<std::string, measure_function> &measurements()
{
    static std::map<std::string, measure_function> registered;
    return registered;
}

int run(const std::string &name, const measure_options &options)
{
    std::vector<measure_result> results;
    for (const auto &[registeredName, measure] : measurements()) {
        if (name == "all" || name == registeredName) {
            results.push_back(measure(options));
            printResult(results.back());
        }
    }
    if (results.empty()) {
        std::string names = "all";
        for (const auto &[registeredName, measure] : measurements()) {
            names += ", " + registeredName;
        }
        fmt::print(stderr, "unknown measurement {}; available: {}\n", name, names);
        return 2;
    }
    if (name == "all") {
        for (const measure_result &result : results) {
            printResult({result.name, result.ratio, result.target, {}});
        }
    }
    return 0;
}

} // namespace

measurement_registrar::measurement_registrar(const char *name, measure_function run)
{
    measurements()[name] = run;
}

} // namespace crocuslane

int main(int argumentCount, char **arguments)
{
    namespace po = boost::program_options;
    crocuslane::measure_options options;
    std::string name;
    po::options_description visible("crocuslane-measure NAME");
    visible.add_options()("help",
                          "show this help")("name", po::value(&name)->required(), "name of a measurement, or all")(
        "seed", po::value(&options.firstSeed)->default_value(1), "first seed")(
        "quick", po::bool_switch(&options.isQuick), "fewer seeds, shorter runs")(
        "product-only", po::bool_switch(&options.isProductOnly), "leave out the baselines")(
        "seeds", po::value(&options.seedCount)->default_value(0), "number of seeds; 0 keeps the measurement's default")(
        "plot", po::bool_switch(&options.isPlotting), "write SVG charts into the working directory");
    po::positional_options_description positional;
    positional.add("name", 1);
    try {
        po::variables_map values;
        po::store(po::command_line_parser(argumentCount, arguments).options(visible).positional(positional).run(),
                  values);
        if (values.count("help") > 0) {
            std::cout << visible;
            return 0;
        }
        po::notify(values);
        return crocuslane::run(name, options);
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
}
