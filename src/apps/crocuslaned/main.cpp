#include "base/logger.h"
#include "base/random_source.h"
#include "entry_node.h"
#include "net/event_loop.h"
#include "net/net_error.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <fmt/core.h>

#include <iostream>

namespace options = boost::program_options;

namespace {

constexpr int exitUsage = 2;
constexpr int exitFailure = 1;

} // namespace

int main(int argumentCount, char **arguments)
{
    using namespace crocuslane;
    options::options_description description("Options");
    description.add_options()("help", "print this help")("settings", options::value<std::string>(), "settings file");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argumentCount, arguments, description), values);
    } catch (const options::error &error) {
        fmt::print(stderr, "crocuslaned: {}\n", error.what());
        return exitUsage;
    }
    if (values.contains("help") || !values.contains("settings")) {
        std::cout << "Usage: crocuslaned --settings FILE\n" << description;
        return values.contains("help") ? 0 : exitUsage;
    }
    boost::property_tree::ptree tree;
    boost::property_tree::read_ini(values["settings"].as<std::string>(), tree);

    entry_node::settings settings;
    settings.node.id = vm_id(tree.get<std::string>("node.id"));
    settings.node.availabilityZone = tree.get<std::string>("node.availability_zone");
    settings.node.region = tree.get<std::string>("node.region");
    settings.node.callerAddress = tree.get<std::string>("node.caller_address");
    settings.node.peerAddress = tree.get<std::string>("node.peer_address");
    settings.logServiceAddress = tree.get<std::string>("platform.log_service");
    settings.vmListAddress = tree.get<std::string>("platform.vm_list");
    settings.ratingServiceAddress = tree.get<std::string>("platform.rating_service", "");
    settings.sessionKey = tree.get<std::string>("security.session_key");
    settings.peerKey = tree.get<std::string>("security.peer_key");
    settings.bootstrapKeyHash = tree.get<std::string>("security.bootstrap_operator_key_hash", "");
    settings.bodyLimit = tree.get<std::size_t>("limits.body_bytes", 1U << 20);

    const real_clock clock;
    settings.node.incarnation = static_cast<std::uint64_t>(unixMilliseconds(clock.systemNow()));
    logger log(clock, settings.node.id.value(), log_level::info);
    event_loop loop;
    entry_node node(settings, clock, loop, log);
    loop.setStopSignalHandler([&node] { node.deliver(stop_requested{}); });
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_CHECK(node.start());
            log.write(log_level::info, "started", {{"address", settings.node.callerAddress}});
            loop.run();
            return 0;
        },
        [&log](const net_error &error) {
            log.write(log_level::error, "start_failed", {{"detail", error.detail}});
            return exitFailure;
        },
        [] { return exitFailure; });
}
