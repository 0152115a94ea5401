#pragma once

#include "base/logger.h"
#include "configuration/key_table.h"
#include "configuration/problem.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace crocuslane {

/// Identity and listening addresses of one entry VM process.
struct node_settings {
    std::string id;
    std::string availabilityZone;
    std::string region;
    /// Listening address for callers and operators, "ip:port".
    std::string callerAddress;
    /// Listening address for other entry VMs, "ip:port".
    std::string peerAddress;
};

/// Addresses of the platform's services, "ip:port".
struct platform_settings {
    std::string logService;
    std::string vmList;
    /// Empty when not set.
    std::string ratingService;
};

/// Paths of key files and certificates. Keys are in separate files, so that a settings file contains no secrets.
struct security_settings {
    /// Uses built-in keys where no key file is set, and makes the certificates optional.
    bool isDevelopment = false;
    /// Path, as the four below; empty when not set.
    std::string sessionKey;
    std::string peerKey;
    std::string certificate;
    std::string privateKey;
    std::string caCertificate;
    /// SHA-256 of the API key that may publish the first configuration; empty when not set.
    std::string bootstrapKeyHash;
};

struct limit_settings {
    std::uint64_t bodyBytes = 1'048'576;
    std::uint64_t connections = 10'000;
    double freshnessSeconds = 6.0;
    double entryAdviceSeconds = 5.0;
    std::uint64_t timelineEvents = 20'000;
};

/// Settings of one crocuslaned process.
struct daemon_settings {
    node_settings node;
    platform_settings platform;
    security_settings security;
    limit_settings limits;
    log_level logLevel = log_level::info;
};

/// A setting given on the command line: "--node.id=a" has section "node", key "id" and value "a".
struct setting_override {
    std::string section;
    std::string key;
    std::string value;
};

struct daemon_command_line {
    /// Path; empty when not given.
    std::string settingsFile;
    std::vector<setting_override> overrides;
    bool isHelpRequested = false;
    bool isVersionRequested = false;
    /// Name of the port set to run with; empty for the default one.
    std::string ports;
    /// Whether to check the settings and exit.
    bool isCheckRequested = false;
};

struct settings_result {
    /// Set if and only if there are no problems.
    std::optional<daemon_settings> value;
    std::vector<configuration_problem> problems;
};

/// A key of the settings file together with the member that stores its value.
struct setting_binding {
    std::string_view section;
    key_rule rule;
    /// Called with a value that parseValue() returned for the rule.
    void (*store)(daemon_settings &, const key_value &);
    /// Value in the notation of the text.
    std::string (*format)(const daemon_settings &);
};

/// All keys of the settings file.
std::span<const setting_binding> settingKeys();

/// Parses the arguments after the program name. Fails with configuration_error.
boost::leaf::result<daemon_command_line> parseDaemonCommandLine(const std::vector<std::string> &arguments);
/// Parses and checks a settings text; an override replaces the value in the text. Accepts any bytes.
settings_result checkSettings(std::string_view text, const std::vector<setting_override> &overrides);
/// Reads the settings file of the command line, if any. Fails with configuration_error, whose problems name their
/// source.
boost::leaf::result<daemon_settings> loadSettings(const daemon_command_line &commandLine);
/// Output of crocuslaned --help.
std::string daemonHelp();
/// Contents of docs/settings.md.
std::string describeSettings();
/// Contents of docs/configuration.md.
std::string describeConfiguration();

} // namespace crocuslane
