#include "load/load_runner.h"

#include <boost/program_options.hpp>
#include <fmt/core.h>

#include <iostream>

using namespace crocuslane;
namespace options = boost::program_options;

namespace {

struct load_options {
    std::vector<std::string> entries;
    std::string configuration;
    std::uint64_t seed = 1;
    double seconds = 30.0;
    double drainSeconds = 120.0;
    double swingPeriodSeconds = 20.0;
    load_shape shape;
    load_limits limits;
};

options::options_description describeOptions(load_options &loadOptions)
{
    options::options_description list("Options");
    list.add_options()("help", "show this text and exit")(
        "entry",
        options::value(&loadOptions.entries)->multitoken()->required(),
        "ADDRESS:PORT of the entry VMs to use until the entry advice is read")(
        "configuration",
        options::value(&loadOptions.configuration)->required(),
        "configuration text of the deployment, such as examples/ironworks.ini")(
        "requests", options::value(&loadOptions.limits.requests)->default_value(1000), "maximum number of requests")(
        "seconds", options::value(&loadOptions.seconds)->default_value(30.0), "maximum time of sending, in seconds")(
        "drain-s",
        options::value(&loadOptions.drainSeconds)->default_value(120.0),
        "maximum wait for the last answers, in seconds")(
        "rate",
        options::value(&loadOptions.shape.requestsPerSecond)->default_value(20.0),
        "requests per second outside of peaks")("swing-factor",
                                                options::value(&loadOptions.shape.swingFactor)->default_value(4.0),
                                                "factor of the rate during a peak")(
        "swing-period-s",
        options::value(&loadOptions.swingPeriodSeconds)->default_value(20.0),
        "time from peak to peak, in seconds")("token-scale",
                                              options::value(&loadOptions.shape.tokenScale)->default_value(1.0),
                                              "factor of the answer lengths")(
        "streamed",
        options::value(&loadOptions.shape.streamedShare)->default_value(0.8),
        "share of model requests that are streamed")(
        "sessions",
        options::value(&loadOptions.limits.sessionShare)->default_value(0.3),
        "share of model requests that continue a session")(
        "in-progress",
        options::value(&loadOptions.limits.inProgress)->default_value(500),
        "maximum number of requests in progress")(
        "seed", options::value(&loadOptions.seed)->default_value(1), "seed of the random mix of requests");
    return list;
}

void printTimes(const char *name, const time_histogram &times)
{
    fmt::print("  {:<14} n={:<7} p50={:.1f} p95={:.1f} p99={:.1f} ms\n",
               name,
               times.count(),
               times.quantile(0.50),
               times.quantile(0.95),
               times.quantile(0.99));
}

void print(const load_report &report)
{
    for (const auto &[name, kind] : report.kinds) {
        fmt::print("{} sent={} served={}\n", name, kind.sent, kind.served);
        if (kind.firstToken.count() > 0) {
            printTimes("first token", kind.firstToken);
            printTimes("between tokens", kind.betweenTokens);
        }
        printTimes("total", kind.total);
    }
    for (const auto &[version, count] : report.servedByVersion) {
        fmt::print("version {} served={}\n", version, count);
    }
    for (const auto &[error, count] : report.errors) {
        fmt::print("error code={} execution={} count={}\n", error.first, error.second, count);
    }
    std::uint64_t errors = 0;
    for (const auto &[error, count] : report.errors) {
        errors += count;
    }
    fmt::print(
        "load sent={} served={} errors={} wrong_answers={} faulty_answers={} continued={} skipped={} unfinished={} "
        "seconds={:.1f}\n",
        report.sent,
        report.served,
        errors,
        report.wrongAnswers,
        report.faultyAnswers,
        report.continued,
        report.skipped,
        report.unfinished,
        report.seconds);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    load_options loadOptions;
    const options::options_description list = describeOptions(loadOptions);
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argumentCount, arguments, list), values);
        if (values.count("help") > 0) {
            fmt::print("croc-load sends a mix of requests to a running deployment and reports times and errors.\n"
                       "Exit code 1 when an answer was wrong or a request did not end.\n\n");
            std::cout << list;
            return 0;
        }
        options::notify(values);
        loadOptions.limits.sendTime = fromSeconds(loadOptions.seconds);
        loadOptions.limits.drainTime = fromSeconds(loadOptions.drainSeconds);
        loadOptions.shape.swingPeriod = fromSeconds(loadOptions.swingPeriodSeconds);
        curl_global_init(CURL_GLOBAL_DEFAULT);
        seeded_random random(loadOptions.seed);
        load_plan plan(loadOptions.configuration, loadOptions.shape, random);
        load_runner runner(loadOptions.entries, plan, loadOptions.limits, random);
        const load_report report = runner.run();
        print(report);
        return report.wrongAnswers == 0 && report.unfinished == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        fmt::print(stderr, "croc-load: {}\n", error.what());
        return 2;
    }
}
