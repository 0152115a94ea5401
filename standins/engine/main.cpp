#include "engine/engine_standin.h"

#include <boost/program_options.hpp>
#include <curl/curl.h>
#include <fmt/core.h>

#include <list>

using namespace crocuslane;
namespace options = boost::program_options;

namespace {

struct engine_options {
    std::uint32_t engines = 1;
    std::vector<std::string> versions;
    std::vector<std::string> speeds;
    double tokenMilliseconds = 20.0;
    double prefillMicroseconds = 200.0;
    double loadSeconds = 2.0;
    double reportIntervalSeconds = 0.5;
    double reportLagSeconds = 0.2;
    double cacheEventDelaySeconds = 0.5;
};

void addOptions(options::options_description &list, engine_options &engineOptions, engine_standin_settings &settings)
{
    engine_settings &engine = settings.engine;
    list.add_options()("engines",
                       options::value(&engineOptions.engines)->default_value(1),
                       "number of engines, on consecutive ports from --port")(
        "versions", options::value(&engineOptions.versions)->multitoken()->required(), "versions loaded at the start")(
        "speed",
        options::value(&engineOptions.speeds)->multitoken(),
        "VERSION=FACTOR: factor of the times per token of a version")(
        "slots", options::value(&engine.slots)->default_value(engine.slots), "maximum number of running requests")(
        "queue",
        options::value(&engine.maximumQueue)->default_value(engine.maximumQueue),
        "maximum number of queued requests")("token-ms",
                                             options::value(&engineOptions.tokenMilliseconds)->default_value(20.0),
                                             "time per generated token while one request runs, in milliseconds")(
        "slowdown",
        options::value(&engine.slowdownPerRequest)->default_value(engine.slowdownPerRequest),
        "share added to the time per token by each further running request")(
        "prefill-us",
        options::value(&engineOptions.prefillMicroseconds)->default_value(200.0),
        "time per prompt token, in microseconds")(
        "cache-blocks",
        options::value(&engine.cacheBlocks)->default_value(engine.cacheBlocks),
        "size of the prefix cache, in blocks")(
        "cache-event-delay-s",
        options::value(&engineOptions.cacheEventDelaySeconds)->default_value(0.5),
        "time until a cache event is readable, in seconds")(
        "cache-event-loss", options::value(&engine.cacheEventLoss)->default_value(0.0), "share of lost cache events")(
        "report-interval-s",
        options::value(&engineOptions.reportIntervalSeconds)->default_value(0.5),
        "time between load reports, in seconds")("report-lag-s",
                                                 options::value(&engineOptions.reportLagSeconds)->default_value(0.2),
                                                 "time until a load report is readable, in seconds")(
        "load-s", options::value(&engineOptions.loadSeconds)->default_value(2.0), "time to load a version, in seconds")(
        "weight-service",
        options::value(&settings.weightService),
        "ADDRESS:PORT of the weight store to download versions from, instead of --load-s")(
        "ignore-fencing", "accept orders with an old fencing number")(
        "answer-tokens",
        options::value(&settings.meanAnswerTokens)->default_value(settings.meanAnswerTokens),
        "mean length in tokens of an answer whose prompt has no answer_tokens=N");
}

void applyOptions(const engine_options &engineOptions, engine_standin_settings &settings)
{
    engine_settings &engine = settings.engine;
    engine.tokenTime = fromSeconds(engineOptions.tokenMilliseconds / 1e3);
    engine.prefillTime = fromSeconds(engineOptions.prefillMicroseconds / 1e6);
    engine.loadTime = fromSeconds(engineOptions.loadSeconds);
    engine.loadReportInterval = fromSeconds(engineOptions.reportIntervalSeconds);
    engine.loadReportLag = fromSeconds(engineOptions.reportLagSeconds);
    engine.cacheEventDelay = fromSeconds(engineOptions.cacheEventDelaySeconds);
    engine.hasExternalLoads = !settings.weightService.empty();
    for (const std::string &version : engineOptions.versions) {
        engine.versions.insert(version_id(version));
    }
    for (const std::string &speed : engineOptions.speeds) {
        const std::size_t separator = speed.find('=');
        if (separator == std::string::npos) {
            throw std::invalid_argument("--speed: expected VERSION=FACTOR, found " + speed);
        }
        const double factor = std::stod(speed.substr(separator + 1));
        engine.speeds[version_id(speed.substr(0, separator))] = {factor, factor};
    }
}

} // namespace

int main(int argumentCount, char **arguments)
{
    options::options_description list("Options");
    options::variables_map values;
    standin_arguments common;
    engine_options engineOptions;
    engine_standin_settings settings;
    addOptions(list, engineOptions, settings);
    int exitCode = 0;
    const char *description = "standin-engine simulates runners; the protocol is in standins/README.md.";
    if (!readArguments(argumentCount, arguments, description, 9100, list, values, common, exitCode)) {
        return exitCode;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    try {
        settings.engine.checksFencing = values.count("ignore-fencing") == 0;
        applyOptions(engineOptions, settings);
        standin_loop loop;
        std::list<engine_standin> engines;
        std::list<standin_server> servers;
        for (std::uint32_t index = 0; index < engineOptions.engines; ++index) {
            settings.engine.seed = index + 1;
            engine_standin &engine = engines.emplace_back(settings);
            const auto port = static_cast<std::uint16_t>(common.port + index);
            servers.emplace_back(loop, common.address, port, engine);
            loop.add(engine);
        }
        fmt::print(stderr,
                   "standin-engine: {} engines, listening on {}:{} and the following ports\n",
                   engineOptions.engines,
                   common.address,
                   common.port);
        loop.run();
    } catch (const std::exception &error) {
        fmt::print(stderr, "standin-engine: {}\n", error.what());
        return 1;
    }
    return 0;
}
