#include "base/crash_log.h"
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

/// Content of the file without line ends at its end. Empty when the file can't be read or is empty.
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

/// Key from the file at @p path. Without a path, development mode uses @p developmentKey.
std::optional<std::string> loadKey(const std::string &path, bool isDevelopment, std::string_view developmentKey)
{
    if (path.empty()) {
        return isDevelopment ? std::optional(std::string(developmentKey)) : std::nullopt;
    }
    return readKeyFile(path);
}

void logUnreadableKeyFile(const std::string &setting, const std::string &file, logger &log)
{
    log.write(log_level::error, "key_file_unreadable", {{"setting", setting}, {"file", file}});
}

std::optional<entry_node::settings>
makeNodeSettings(const daemon_settings &daemonSettings, const clock &clock, logger &log)
{
    const security_settings &security = daemonSettings.security;
    const std::optional<std::string> sessionKey =
        loadKey(security.sessionKey, security.isDevelopment, developmentSessionKey);
    const std::optional<std::string> peerKey = loadKey(security.peerKey, security.isDevelopment, developmentPeerKey);
    if (!sessionKey) {
        logUnreadableKeyFile("security.session_key", security.sessionKey, log);
    }
    if (!peerKey) {
        logUnreadableKeyFile("security.peer_key", security.peerKey, log);
    }
    if (!sessionKey || !peerKey) {
        return std::nullopt;
    }
    entry_node::settings settings;
    settings.node = {vm_id(daemonSettings.node.id),
                     static_cast<std::uint64_t>(unixMilliseconds(clock.systemNow())),
                     daemonSettings.node.availabilityZone,
                     daemonSettings.node.region,
                     daemonSettings.node.callerAddress,
                     daemonSettings.node.peerAddress};
    settings.logServiceAddress = daemonSettings.platform.logService;
    settings.vmListAddress = daemonSettings.platform.vmList;
    settings.ratingServiceAddress = daemonSettings.platform.ratingService;
    settings.sessionKey = *sessionKey;
    settings.peerKey = *peerKey;
    settings.certificateFile = security.certificate;
    settings.privateKeyFile = security.privateKey;
    settings.bootstrapKeyHash = security.bootstrapKeyHash;
    if (settings.bootstrapKeyHash.empty() && security.isDevelopment) {
        settings.bootstrapKeyHash = sha256Hex(developmentOperatorKey);
    }
    settings.bodyLimitBytes = daemonSettings.limits.bodyBytes;
    settings.connectionLimit = daemonSettings.limits.connections;
    settings.timelineEventLimit = daemonSettings.limits.timelineEvents;
    settings.freshnessLimit = fromSeconds(daemonSettings.limits.freshnessSeconds);
    return settings;
}

int run(const daemon_settings &daemonSettings)
{
    const real_clock clock;
    logger log(clock, daemonSettings.node.id, daemonSettings.logLevel);
    installCrashLog(daemonSettings.node.id);
    const std::optional<entry_node::settings> settings = makeNodeSettings(daemonSettings, clock, log);
    if (!settings) {
        return exitFailure;
    }
    if (daemonSettings.security.isDevelopment) {
        log.write(log_level::warning,
                  "development_mode",
                  {{"detail", "built-in keys are used where no key file is set; not for production"}});
    }
    if (daemonSettings.security.certificate.empty()) {
        log.write(log_level::warning,
                  "no_tls",
                  {{"detail", "callers and operators connect without TLS, because no certificate is set"}});
    }
    log.write(log_level::warning,
              "peer_connections_not_encrypted",
              {{"detail", "connections between entry VMs are authenticated by the peer key but not encrypted"}});
    event_loop loop;
    entry_node node(*settings, clock, loop, log);
    loop.setStopSignalHandler([&node] { node.deliver(stop_requested{}); });
    return runNode(loop, log, daemonSettings.node.callerAddress, daemonSettings.node.peerAddress, [&node] {
        return node.start();
    });
}

int runWithPorts(const daemon_command_line &commandLine)
{
    const port_set_main runner = findPortSet(commandLine.ports);
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
