#include "base/digest.h"
#include "base/logger.h"
#include "configuration/settings.h"
#include "edge/node_run.h"
#include "edge/port_set.h"
#include "entry_node.h"
#include "net/event_loop.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <fmt/format.h>

#include <fstream>
#include <optional>
#include <sstream>

namespace crocuslane {

namespace {

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr std::string_view developmentSessionKey = "development-session-key";
constexpr std::string_view developmentPeerKey = "development-peer-key";
constexpr std::string_view developmentOperatorKey = "dev-operator";

/// Nothing when the file can't be read or is empty.
std::optional<std::string> readKeyFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    std::string key = content.str();
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
        key.pop_back();
    }
    return key.empty() ? std::nullopt : std::optional(std::move(key));
}

/// A built-in key is used in development only, where no file is named.
std::optional<std::string> loadKey(const std::string &path, bool isDevelopment, std::string_view developmentKey)
{
    if (path.empty()) {
        return isDevelopment ? std::optional(std::string(developmentKey)) : std::nullopt;
    }
    return readKeyFile(path);
}

void reportUnreadable(const std::string &setting, const std::string &file, logger &log)
{
    log.write(log_level::error, "key_file_unreadable", {{"setting", setting}, {"file", file}});
}

std::optional<entry_node::settings> makeNodeSettings(const daemon_settings &given, const clock &clock, logger &log)
{
    const security_settings &security = given.security;
    const std::optional<std::string> sessionKey =
        loadKey(security.sessionKey, security.isDevelopment, developmentSessionKey);
    const std::optional<std::string> peerKey = loadKey(security.peerKey, security.isDevelopment, developmentPeerKey);
    if (!sessionKey) {
        reportUnreadable("security.session_key", security.sessionKey, log);
    }
    if (!peerKey) {
        reportUnreadable("security.peer_key", security.peerKey, log);
    }
    if (!sessionKey || !peerKey) {
        return std::nullopt;
    }
    entry_node::settings settings;
    settings.node = {vm_id(given.node.id),
                     static_cast<std::uint64_t>(unixMilliseconds(clock.systemNow())),
                     given.node.availabilityZone,
                     given.node.region,
                     given.node.callerAddress,
                     given.node.peerAddress};
    settings.logServiceAddress = given.platform.logService;
    settings.vmListAddress = given.platform.vmList;
    settings.ratingServiceAddress = given.platform.ratingService;
    settings.sessionKey = *sessionKey;
    settings.peerKey = *peerKey;
    settings.certificateFile = security.certificate;
    settings.privateKeyFile = security.privateKey;
    settings.bootstrapKeyHash = security.bootstrapKeyHash;
    if (settings.bootstrapKeyHash.empty() && security.isDevelopment) {
        settings.bootstrapKeyHash = sha256Hex(developmentOperatorKey);
    }
    settings.bodyLimit = given.limits.bodyBytes;
    settings.connectionLimit = given.limits.connections;
    settings.timelineEvents = given.limits.timelineEvents;
    settings.freshnessLimit = fromSeconds(given.limits.freshnessSeconds);
    return settings;
}

int run(const daemon_settings &given)
{
    const real_clock clock;
    logger log(clock, given.node.id, given.logLevel);
    const std::optional<entry_node::settings> settings = makeNodeSettings(given, clock, log);
    if (!settings) {
        return exitFailure;
    }
    if (given.security.isDevelopment) {
        log.write(log_level::warning,
                  "development_mode",
                  {{"detail", "built-in keys where no file is named; not for production"}});
    }
    if (given.security.certificate.empty()) {
        log.write(log_level::warning,
                  "no_tls",
                  {{"detail", "callers and operators connect without TLS, as no certificate is set"}});
    }
    log.write(log_level::warning,
              "peer_connections_not_encrypted",
              {{"detail", "connections between entry VMs are authenticated by the peer key but not encrypted"}});
    event_loop loop;
    entry_node node(*settings, clock, loop, log);
    loop.setStopSignalHandler([&node] { node.deliver(stop_requested{}); });
    return runNode(loop, log, given.node.callerAddress, given.node.peerAddress, [&node] { return node.start(); });
}

int runWithPorts(const daemon_command_line &commandLine)
{
    const port_set_runner runner = findPortSet(commandLine.ports);
    if (runner == nullptr) {
        fmt::print(stderr,
                   "crocuslaned: --ports: found '{}'; allowed: {}\n",
                   commandLine.ports,
                   fmt::join(portSetNames(), ", "));
        return exitUsage;
    }
    return runner({commandLine.settingsFile, commandLine.isCheckRequested});
}

} // namespace

} // namespace crocuslane

int main(int argumentCount, char **arguments)
{
    using namespace crocuslane;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(commandLine,
                            parseDaemonCommandLine(std::vector<std::string>(arguments + 1, arguments + argumentCount)));
            if (commandLine.isHelpRequested) {
                fmt::print("{}", daemonHelp());
                return 0;
            }
            if (commandLine.isVersionRequested) {
                fmt::print("crocuslaned {}\n", CROCUSLANE_VERSION);
                return 0;
            }
            if (!commandLine.ports.empty()) {
                return runWithPorts(commandLine);
            }
            BOOST_LEAF_AUTO(settings, loadSettings(commandLine));
            return commandLine.isCheckRequested ? 0 : run(settings);
        },
        [](const configuration_error &error) {
            for (const configuration_problem &problem : error.problems) {
                fmt::print(stderr, "crocuslaned: {}\n", toText(problem, "settings"));
            }
            return exitUsage;
        },
        [] { return exitFailure; });
}
