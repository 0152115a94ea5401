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

options::options_description describeOptions(load_options &read)
{
    options::options_description list("Options");
    list.add_options()("help", "show this text and exit")(
        "entry", options::value(&read.entries)->multitoken()->required(), "ADDRESS:PORT of entry VMs to ask first")(
        "configuration",
        options::value(&read.configuration)->required(),
        "operators' text that the deployment runs, as examples/ironworks.ini")(
        "requests", options::value(&read.limits.requests)->default_value(1000), "bound on the requests")(
        "seconds", options::value(&read.seconds)->default_value(30.0), "bound on the time of sending")(
        "drain-s", options::value(&read.drainSeconds)->default_value(120.0), "wait for the last answers")(
        "rate", options::value(&read.shape.requestsPerSecond)->default_value(20.0), "requests per second")(
        "swing-factor", options::value(&read.shape.swingFactor)->default_value(4.0), "rise of demand in a swing")(
        "swing-period-s", options::value(&read.swingPeriodSeconds)->default_value(20.0), "from swing to swing")(
        "token-scale", options::value(&read.shape.tokenScale)->default_value(1.0), "factor of all answer lengths")(
        "streamed", options::value(&read.shape.streamedShare)->default_value(0.8), "share of streamed requests")(
        "sessions", options::value(&read.limits.sessionShare)->default_value(0.3), "share that continues a session")(
        "in-progress", options::value(&read.limits.inProgress)->default_value(500), "bound on requests in progress")(
        "seed", options::value(&read.seed)->default_value(1), "of the mix");
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
    load_options read;
    const options::options_description list = describeOptions(read);
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
        read.limits.sendTime = fromSeconds(read.seconds);
        read.limits.drainTime = fromSeconds(read.drainSeconds);
        read.shape.swingPeriod = fromSeconds(read.swingPeriodSeconds);
        curl_global_init(CURL_GLOBAL_DEFAULT);
        seeded_random random(read.seed);
        load_plan plan(read.configuration, read.shape, random);
        load_runner runner(read.entries, plan, read.limits, random);
        const load_report report = runner.run();
        print(report);
        return report.wrongAnswers == 0 && report.unfinished == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        fmt::print(stderr, "croc-load: {}\n", error.what());
        return 2;
    }
}
