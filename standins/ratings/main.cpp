#include "ratings/rating_standin.h"

#include <boost/program_options.hpp>
#include <fmt/core.h>

using namespace crocuslane;
namespace options = boost::program_options;

int main(int argumentCount, char **arguments)
{
    options::options_description list("Options");
    options::variables_map values;
    standin_arguments common;
    rating_standin_settings settings;
    std::vector<std::string> qualities;
    double delaySeconds = 0.0;
    list.add_options()("share",
                       options::value(&settings.share)->default_value(settings.share),
                       "share of the answers that are rated")("delay-s",
                                                              options::value(&delaySeconds)->default_value(5.0),
                                                              "mean time until a rating is readable, in seconds")(
        "quality", options::value(&qualities)->multitoken(), "VERSION=SCORE or VERSION/KIND=SCORE: mean score")(
        "other-quality",
        options::value(&settings.otherQuality)->default_value(settings.otherQuality),
        "mean score of all other versions and kinds")(
        "seed", options::value(&settings.seed)->default_value(settings.seed), "seed of the random ratings and delays");
    int exitCode = 0;
    const char *description =
        "standin-ratings stands in for the rating service; the protocol is in standins/README.md.";
    if (!readArguments(argumentCount, arguments, description, 9002, list, values, common, exitCode)) {
        return exitCode;
    }
    try {
        settings.meanDelay = fromSeconds(delaySeconds);
        for (const std::string &quality : qualities) {
            const std::size_t separator = quality.find('=');
            if (separator == std::string::npos) {
                throw std::invalid_argument("--quality: expected VERSION=SCORE, found " + quality);
            }
            settings.quality[quality.substr(0, separator)] = std::stod(quality.substr(separator + 1));
        }
        const real_clock clock;
        standin_loop loop;
        rating_standin ratings(loop, clock, settings);
        const standin_server server(loop, common.address, common.port, ratings);
        fmt::print(stderr, "standin-ratings: listening on {}:{}\n", common.address, common.port);
        loop.run();
    } catch (const std::exception &error) {
        fmt::print(stderr, "standin-ratings: {}\n", error.what());
        return 1;
    }
    return 0;
}
