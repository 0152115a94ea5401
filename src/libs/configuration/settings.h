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

struct node_settings {
    std::string id;
    std::string availabilityZone;
    std::string region;
    /// "ip:port"
    std::string callerAddress;
    std::string peerAddress;
};

/// Addresses of the platform's systems, "ip:port".
struct platform_settings {
    std::string logService;
    std::string vmList;
    std::string ratingService;
};

/// Key material stays in files of its own, so that a settings file holds no secret.
struct security_settings {
    /// Built-in keys where no file is named; certificates are optional.
    bool isDevelopment = false;
    /// Paths; empty when not set.
    std::string sessionKey;
    std::string peerKey;
    std::string certificate;
    std::string privateKey;
    std::string caCertificate;
    /// SHA-256 of the key that may publish the first configuration; empty for none.
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

/// One key given on the command line: "--node.id=a" has section "node", key "id" and value "a".
struct setting_override {
    std::string section;
    std::string key;
    std::string value;
};

struct daemon_command_line {
    /// Path; empty when none was given.
    std::string settingsFile;
    std::vector<setting_override> overrides;
    bool isHelpRequested = false;
    bool isVersionRequested = false;
    /// Set of ports to run with; empty for the product's own.
    std::string ports;
    bool isCheckRequested = false;
};

struct settings_result {
    /// Set exactly when there are no problems.
    std::optional<daemon_settings> value;
    std::vector<configuration_problem> problems;
};

struct setting_binding {
    std::string_view section;
    key_rule rule;
    void (*store)(daemon_settings &, const key_value &);
    std::string (*show)(const daemon_settings &);
};

std::span<const setting_binding> settingKeys();

/// Arguments without the name of the program. The error object is configuration_error.
boost::leaf::result<daemon_command_line> parseDaemonCommandLine(const std::vector<std::string> &arguments);
/// Reads and checks a settings text; an override replaces the key of the text. Accepts any bytes.
settings_result checkSettings(std::string_view text, const std::vector<setting_override> &overrides);
/// Reads the file of the command line, if any. The error object is configuration_error; its problems name their source.
boost::leaf::result<daemon_settings> loadSettings(const daemon_command_line &commandLine);
/// Text for crocuslaned --help.
std::string daemonHelp();
/// The page docs/settings.md.
std::string describeSettings();
/// The page docs/configuration.md.
std::string describeConfiguration();

} // namespace crocuslane
