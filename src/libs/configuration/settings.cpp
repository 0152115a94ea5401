#include "configuration/settings.h"

#include "base/name_table.h"
#include "configuration/ini_document.h"
#include "configuration/schema.h"

#include <boost/leaf/error.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <map>
#include <sstream>

namespace crocuslane {

namespace options = boost::program_options;

namespace {

constexpr std::string_view commandLineSource = "command line";

constexpr auto logLevelNames = makeNameTable<log_level>({
    {log_level::debug, "debug"},
    {log_level::info, "info"},
    {log_level::warning, "warning"},
    {log_level::error, "error"},
});

const std::string &asText(const key_value &value)
{
    return std::get<std::string>(value);
}

const std::array settingTable{
    setting_binding{
        "node",
        {.key = "id",
         .type = value_type::id,
         .isRequired = true,
         .description = "Name of the process, unique in the deployment; must equal its name in the VM list."},
        [](daemon_settings &settings, const key_value &value) { settings.node.id = asText(value); },
        [](const daemon_settings &settings) { return settings.node.id; }},
    setting_binding{
        "node",
        {.key = "availability_zone",
         .type = value_type::id,
         .isRequired = true,
         .description = "Availability zone of the VM."},
        [](daemon_settings &settings, const key_value &value) { settings.node.availabilityZone = asText(value); },
        [](const daemon_settings &settings) { return settings.node.availabilityZone; }},
    setting_binding{"node",
                    {.key = "region", .type = value_type::id, .isRequired = true, .description = "Region of the VM."},
                    [](daemon_settings &settings, const key_value &value) { settings.node.region = asText(value); },
                    [](const daemon_settings &settings) { return settings.node.region; }},
    setting_binding{
        "node",
        {.key = "caller_address",
         .type = value_type::address,
         .isRequired = true,
         .description = "Listening address for callers and operators; also given to callers in the entry advice."},
        [](daemon_settings &settings, const key_value &value) { settings.node.callerAddress = asText(value); },
        [](const daemon_settings &settings) { return settings.node.callerAddress; }},
    setting_binding{
        "node",
        {.key = "peer_address",
         .type = value_type::address,
         .isRequired = true,
         .description = "Listening address for other entry VMs."},
        [](daemon_settings &settings, const key_value &value) { settings.node.peerAddress = asText(value); },
        [](const daemon_settings &settings) { return settings.node.peerAddress; }},
    setting_binding{
        "platform",
        {.key = "log_service",
         .type = value_type::address,
         .isRequired = true,
         .description = "Address of the log service."},
        [](daemon_settings &settings, const key_value &value) { settings.platform.logService = asText(value); },
        [](const daemon_settings &settings) { return settings.platform.logService; }},
    setting_binding{
        "platform",
        {.key = "vm_list", .type = value_type::address, .isRequired = true, .description = "Address of the VM list."},
        [](daemon_settings &settings, const key_value &value) { settings.platform.vmList = asText(value); },
        [](const daemon_settings &settings) { return settings.platform.vmList; }},
    setting_binding{
        "platform",
        {.key = "rating_service",
         .type = value_type::address,
         .description = "Address of the rating service; without it, quality estimates keep their initial bound."},
        [](daemon_settings &settings, const key_value &value) { settings.platform.ratingService = asText(value); },
        [](const daemon_settings &settings) { return settings.platform.ratingService; }},
    setting_binding{
        "security",
        {.key = "development",
         .type = value_type::boolean,
         .defaultValue = "false",
         .description =
             "true: built-in keys are used where no key file is set, and the other files are optional. Must not be "
             "set in production."},
        [](daemon_settings &settings, const key_value &value) {
            settings.security.isDevelopment = std::get<bool>(value);
        },
        [](const daemon_settings &settings) {
            return std::string(settings.security.isDevelopment ? "true" : "false");
        }},
    setting_binding{
        "security",
        {.key = "session_key",
         .type = value_type::path,
         .description = "File with the key that signs session tokens, the same on all entry VMs. Required unless "
                        "development = true."},
        [](daemon_settings &settings, const key_value &value) { settings.security.sessionKey = asText(value); },
        [](const daemon_settings &settings) { return settings.security.sessionKey; }},
    setting_binding{
        "security",
        {.key = "peer_key",
         .type = value_type::path,
         .description = "File with the key by which entry VMs authenticate each other, the same on all entry VMs; "
                        "connections between them are not encrypted. Required unless development = true."},
        [](daemon_settings &settings, const key_value &value) { settings.security.peerKey = asText(value); },
        [](const daemon_settings &settings) { return settings.security.peerKey; }},
    setting_binding{
        "security",
        {.key = "certificate",
         .type = value_type::path,
         .description = "PEM file with the certificate chain of this VM, for HTTPS to callers and operators. "
                        "Required unless development = true; needs private_key."},
        [](daemon_settings &settings, const key_value &value) { settings.security.certificate = asText(value); },
        [](const daemon_settings &settings) { return settings.security.certificate; }},
    setting_binding{
        "security",
        {.key = "private_key",
         .type = value_type::path,
         .description =
             "PEM file with the private key of the certificate, without a passphrase. Required unless development "
             "= true; needs certificate."},
        [](daemon_settings &settings, const key_value &value) { settings.security.privateKey = asText(value); },
        [](const daemon_settings &settings) { return settings.security.privateKey; }},
    setting_binding{
        "security",
        {.key = "ca_certificate",
         .type = value_type::path,
         .description =
             "PEM file with the certificate of the authority that signed the certificates of all entry VMs. Not read "
             "yet: reserved for TLS between entry VMs. Required unless development = true."},
        [](daemon_settings &settings, const key_value &value) { settings.security.caCertificate = asText(value); },
        [](const daemon_settings &settings) { return settings.security.caCertificate; }},
    setting_binding{
        "security",
        {.key = "bootstrap_operator_key_hash",
         .type = value_type::sha256,
         .description = "SHA-256 of the API key that may publish the first configuration; not needed afterwards."},
        [](daemon_settings &settings, const key_value &value) { settings.security.bootstrapKeyHash = asText(value); },
        [](const daemon_settings &settings) { return settings.security.bootstrapKeyHash; }},
    setting_binding{"limits",
                    {.key = "body_bytes",
                     .type = value_type::integer,
                     .unit = "bytes",
                     .defaultValue = "1048576",
                     .minimum = 1024,
                     .maximum = 67'108'864,
                     .description = "Maximum size of a request body."},
                    [](daemon_settings &settings, const key_value &value) {
                        settings.limits.bodyBytes = std::get<std::uint64_t>(value);
                    },
                    [](const daemon_settings &settings) { return std::to_string(settings.limits.bodyBytes); }},
    setting_binding{"limits",
                    {.key = "connections",
                     .type = value_type::integer,
                     .defaultValue = "10000",
                     .minimum = 1,
                     .maximum = 1'000'000,
                     .description = "Maximum number of concurrent caller connections."},
                    [](daemon_settings &settings, const key_value &value) {
                        settings.limits.connections = std::get<std::uint64_t>(value);
                    },
                    [](const daemon_settings &settings) { return std::to_string(settings.limits.connections); }},
    setting_binding{
        "limits",
        {.key = "freshness_s",
         .type = value_type::number,
         .unit = "s",
         .defaultValue = "6",
         .minimum = 2,
         .maximum = 60,
         .description = "How long the VM accepts requests after it last confirmed that it has the newest "
                        "configuration. Must be the same on all entry VMs."},
        [](daemon_settings &settings, const key_value &value) {
            settings.limits.freshnessSeconds = std::get<double>(value);
        },
        [](const daemon_settings &settings) { return fmt::format("{}", settings.limits.freshnessSeconds); }},
    setting_binding{
        "limits",
        {.key = "entry_advice_s",
         .type = value_type::number,
         .unit = "s",
         .defaultValue = "5",
         .minimum = 1,
         .maximum = 3600,
         .description =
             "How long callers may use the entry advice; a stopping VM serves requests for at least this long."},
        [](daemon_settings &settings, const key_value &value) {
            settings.limits.entryAdviceSeconds = std::get<double>(value);
        },
        [](const daemon_settings &settings) { return fmt::format("{}", settings.limits.entryAdviceSeconds); }},
    setting_binding{"limits",
                    {.key = "timeline_events",
                     .type = value_type::integer,
                     .defaultValue = "20000",
                     .minimum = 100,
                     .maximum = 200'000,
                     .description = "Number of events that the VM keeps for the time line."},
                    [](daemon_settings &settings, const key_value &value) {
                        settings.limits.timelineEvents = std::get<std::uint64_t>(value);
                    },
                    [](const daemon_settings &settings) { return std::to_string(settings.limits.timelineEvents); }},
    setting_binding{"log",
                    {.key = "level",
                     .type = value_type::choice,
                     .defaultValue = "info",
                     .choices = "debug, info, warning, error",
                     .description = "Lowest level of the log lines that are written to standard error."},
                    [](daemon_settings &settings, const key_value &value) {
                        settings.logLevel = logLevelNames.value(asText(value)).value_or(log_level::info);
                    },
                    [](const daemon_settings &settings) { return std::string(logLevelNames.name(settings.logLevel)); }},
};

const setting_binding *findBinding(std::string_view section, std::string_view key)
{
    for (const setting_binding &binding : settingTable) {
        if (binding.section == section && binding.rule.key == key) {
            return &binding;
        }
    }
    return nullptr;
}

std::string knownSections()
{
    std::vector<std::string> names;
    for (const setting_binding &binding : settingTable) {
        const std::string name = fmt::format("[{}]", binding.section);
        if (names.empty() || names.back() != name) {
            names.push_back(name);
        }
    }
    return joinList(names);
}

std::string knownKeys(std::string_view section)
{
    std::vector<std::string> names;
    for (const setting_binding &binding : settingTable) {
        if (binding.section == section) {
            names.emplace_back(binding.rule.key);
        }
    }
    return joinList(names);
}

class settings_checker
{
public:
    settings_checker(std::string_view text, const std::vector<setting_override> &overrides)
        : m_document(parseIni(text))
        , m_overrides(overrides)
    {
        m_result.problems = m_document.problems;
    }

    settings_result run()
    {
        for (const ini_section &section : m_document.sections) {
            readSection(section);
        }
        for (const setting_override &entry : m_overrides) {
            readOverride(entry);
        }
        checkRequired();
        checkSecurity();
        sortByLine(m_result.problems);
        if (m_result.problems.empty()) {
            m_result.value = m_settings;
        }
        return std::move(m_result);
    }

private:
    bool isOverridden(std::string_view section, std::string_view key) const
    {
        for (const setting_override &entry : m_overrides) {
            if (entry.section == section && entry.key == key) {
                return true;
            }
        }
        return false;
    }

    void readSection(const ini_section &section)
    {
        if (knownKeys(section.name).empty()) {
            m_result.problems.push_back({problem_code::unknown_section,
                                         section.line,
                                         printable(section.name),
                                         {},
                                         fmt::format("section [{}]", printable(section.name)),
                                         knownSections()});
            return;
        }
        for (const ini_entry &entry : section.entries) {
            readEntry(section, entry);
        }
    }

    void readEntry(const ini_section &section, const ini_entry &entry)
    {
        const setting_binding *binding = findBinding(section.name, entry.key);
        if (binding == nullptr) {
            m_result.problems.push_back({problem_code::unknown_key,
                                         entry.line,
                                         section.name,
                                         printable(entry.key),
                                         "an unknown key",
                                         knownKeys(section.name)});
            return;
        }
        m_givenKeyLines.emplace(binding, entry.line);
        store(*binding, entry.value, entry.line, !isOverridden(section.name, entry.key), {});
    }

    void readOverride(const setting_override &entry)
    {
        const setting_binding *binding = findBinding(entry.section, entry.key);
        if (binding == nullptr) {
            m_result.problems.push_back({problem_code::unknown_key,
                                         0,
                                         printable(entry.section),
                                         printable(entry.key),
                                         "an unknown key",
                                         "the keys of crocuslaned --help",
                                         std::string(commandLineSource)});
            return;
        }
        m_givenKeyLines.insert_or_assign(binding, 0);
        store(*binding, entry.value, 0, true, std::string(commandLineSource));
    }

    /// Reports a faulty value even when it is overridden, but stores only the effective value.
    void store(
        const setting_binding &binding, const std::string &text, std::size_t line, bool isEffective, std::string source)
    {
        const std::optional<key_value> value = parseValue(binding.rule, trimmed(text));
        if (!value) {
            m_result.problems.push_back({problem_code::bad_value,
                                         line,
                                         std::string(binding.section),
                                         std::string(binding.rule.key),
                                         fmt::format("'{}'", printable(text)),
                                         allowedText(binding.rule),
                                         std::move(source)});
            return;
        }
        if (isEffective) {
            binding.store(m_settings, *value);
        }
    }

    void reportMissing(const setting_binding &binding, std::string allowed)
    {
        std::size_t line = 0;
        for (const ini_section &section : m_document.sections) {
            if (section.name == binding.section) {
                line = section.line;
            }
        }
        m_result.problems.push_back({problem_code::missing_key,
                                     line,
                                     std::string(binding.section),
                                     std::string(binding.rule.key),
                                     "no such key",
                                     std::move(allowed)});
    }

    void checkRequired()
    {
        for (const setting_binding &binding : settingTable) {
            if (binding.rule.isRequired && !m_givenKeyLines.contains(&binding)) {
                reportMissing(binding, allowedText(binding.rule));
            }
        }
    }

    bool hasProblem(std::string_view section, std::string_view key) const
    {
        for (const configuration_problem &problem : m_result.problems) {
            if (problem.section == section && problem.key == key) {
                return true;
            }
        }
        return false;
    }

    /// Reports a certificate without private key, or the reverse: the VM would start without TLS.
    void checkPair(std::string_view given, std::string_view needed)
    {
        const setting_binding *binding = findBinding("security", needed);
        if (m_givenKeyLines.contains(findBinding("security", given)) && !m_givenKeyLines.contains(binding)) {
            reportMissing(*binding, fmt::format("a path, because {} is set", given));
        }
    }

    void checkSecurity()
    {
        if (m_settings.security.isDevelopment || hasProblem("security", "development")) {
            checkPair("certificate", "private_key");
            checkPair("private_key", "certificate");
            return;
        }
        for (const std::string_view key : {"session_key", "peer_key", "certificate", "private_key", "ca_certificate"}) {
            const setting_binding *binding = findBinding("security", key);
            if (!m_givenKeyLines.contains(binding)) {
                reportMissing(*binding, "a path, unless development = true");
            }
        }
    }

    ini_document m_document;
    const std::vector<setting_override> &m_overrides;
    /// Line of each given key; 0 for a key on the command line.
    std::map<const setting_binding *, std::size_t> m_givenKeyLines;
    daemon_settings m_settings;
    settings_result m_result;
};

options::options_description describeOptions()
{
    options::options_description description("Options");
    description.add_options()("help", "print this help")("version", "print the version")(
        "settings", options::value<std::string>()->value_name("FILE"), "settings file (INI)")(
        "ports",
        options::value<std::string>()->value_name("NAME"),
        "name of the set of ports (adapters to the environment) to run with, whose settings file has its own keys; "
        "without it, the default set")("check", "check the settings and exit");
    for (const setting_binding &binding : settingTable) {
        const std::string name = fmt::format("{}.{}", binding.section, binding.rule.key);
        std::string text = fmt::format("{} Allowed: {}.", binding.rule.description, allowedText(binding.rule));
        if (!binding.rule.defaultValue.empty()) {
            text += fmt::format(" Default: {}.", binding.rule.defaultValue);
        }
        description.add_options()(name.c_str(), options::value<std::string>()->value_name("VALUE"), text.c_str());
    }
    return description;
}

configuration_error commandLineError(std::string found, std::string allowed)
{
    return {{{problem_code::syntax, 0, {}, {}, std::move(found), std::move(allowed), std::string(commandLineSource)}}};
}

} // namespace

std::span<const setting_binding> settingKeys()
{
    return settingTable;
}

boost::leaf::result<daemon_command_line> parseDaemonCommandLine(const std::vector<std::string> &arguments)
{
    // Abbreviated options are rejected, because a new key could change which option they match.
    constexpr int style = options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;
    daemon_command_line commandLine;
    try {
        const options::options_description description = describeOptions();
        const options::parsed_options parsed = options::command_line_parser(arguments)
                                                   .options(description)
                                                   .positional(options::positional_options_description())
                                                   .style(style)
                                                   .run();
        options::variables_map values;
        options::store(parsed, values);
        commandLine.isHelpRequested = values.contains("help");
        commandLine.isVersionRequested = values.contains("version");
        commandLine.isCheckRequested = values.contains("check");
        if (values.contains("ports")) {
            commandLine.ports = values["ports"].as<std::string>();
        }
        if (values.contains("settings")) {
            commandLine.settingsFile = values["settings"].as<std::string>();
        }
        for (const setting_binding &binding : settingTable) {
            const std::string name = fmt::format("{}.{}", binding.section, binding.rule.key);
            if (values.contains(name)) {
                commandLine.overrides.push_back(
                    {std::string(binding.section), std::string(binding.rule.key), values[name].as<std::string>()});
            }
        }
    } catch (const options::error &error) {
        return boost::leaf::new_error(commandLineError(error.what(), "the options of crocuslaned --help"));
    }
    return commandLine;
}

settings_result checkSettings(std::string_view text, const std::vector<setting_override> &overrides)
{
    return settings_checker(text, overrides).run();
}

boost::leaf::result<daemon_settings> loadSettings(const daemon_command_line &commandLine)
{
    std::ostringstream text;
    const std::string &path = commandLine.settingsFile;
    if (!path.empty()) {
        std::ifstream file(path, std::ios::binary);
        text << file.rdbuf();
        if (!file) {
            const std::string reason = std::strerror(errno);
            return boost::leaf::new_error(configuration_error{
                {{problem_code::syntax, 0, {}, {}, "no readable file: " + reason, "a settings file", path}}});
        }
    }
    settings_result result = checkSettings(text.str(), commandLine.overrides);
    if (result.value) {
        return *result.value;
    }
    for (configuration_problem &problem : result.problems) {
        if (problem.source.empty()) {
            problem.source = path.empty() ? std::string(commandLineSource) : path;
        }
    }
    return boost::leaf::new_error(configuration_error{std::move(result.problems)});
}

std::string daemonHelp()
{
    std::ostringstream text;
    text << "Usage: crocuslaned --settings FILE [--SECTION.KEY=VALUE ...]\n"
            "Entry VM process of crocuslane. Each key of the settings file can be overridden on the command line.\n\n"
         << describeOptions()
         << "\nExit codes: 0 regular shutdown, 1 failure at start or while running, 2 invalid settings or command "
            "line.\n";
    return text.str();
}

std::string describeSettings()
{
    std::string page =
        "# Settings of crocuslaned\n\n"
        "Generated from the table in `src/libs/configuration/settings.cpp` by `scripts/describe`.\n\n"
        "`crocuslaned --settings FILE` reads an INI file. Each key can be overridden on the command "
        "line, for example\n`--node.id=muscat-a-1`. All faults are reported at once, each with file, line, "
        "key, the value found and the allowed\nvalues; the process then exits with code 2.\n";
    std::string_view section;
    for (const setting_binding &binding : settingTable) {
        if (binding.section != section) {
            section = binding.section;
            page += fmt::format("\n## `[{}]`\n\n| key | allowed | default | meaning |\n|---|---|---|---|\n", section);
        }
        const key_rule &rule = binding.rule;
        const std::string defaultText = rule.defaultValue.empty() ? std::string(rule.isRequired ? "required" : "none")
                                                                  : fmt::format("`{}`", rule.defaultValue);
        page += fmt::format("| `{}` | {} | {} | {} |\n", rule.key, allowedText(rule), defaultText, rule.description);
    }
    return page;
}

std::string describeConfiguration()
{
    return "# Configuration text\n\n"
           "Generated from the tables in `src/libs/configuration/schema.cpp` by `scripts/describe`.\n\n"
           "The text is INI: `[section]`, `key = value`; a comment is a line that begins with `#` or `;`. A name has 1 "
           "to "
           "64\ncharacters of `a-z 0-9 - _ .`. A text has at most 512 KiB. `crocuslane check FILE` reports all faults "
           "at once.\nExamples: `examples/rimal.ini`, `examples/ironworks.ini`.\n\n"
           "## Sections\n\n"
        + describeConfigurationKeys()
        + "## Checks across sections\n\n"
          "- Every reference names a section of the text; the model of a version and the organisation of a group "
          "exist.\n"
          "- Dependencies of services have no cycle.\n"
          "- Operations belong to plain services, kinds to model services; a model service has at least one model.\n"
          "- A canary has a share and names another version of the same model that it replaces; the shares of all "
          "canaries\n  of a model are at most 100 percent together. Only a canary has a share.\n"
          "- Each organisation has at least one active version among its allowed ones for each model service that it "
          "may "
          "call.\n"
          "- Each caller group has at least one key, which no other group has, and, unless it is an operator group, "
          "limits "
          "above 0;\n  at least one group is an operator group.\n";
}

} // namespace crocuslane
