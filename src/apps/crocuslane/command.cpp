#include "command.h"

#include "commands.h"
#include "configuration/key_table.h"
#include "configuration/problem.h"

#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>

#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

#ifndef CROCUSLANE_VERSION
#define CROCUSLANE_VERSION "development"
#endif

namespace crocuslane {

namespace options = boost::program_options;
namespace leaf = boost::leaf;

namespace {

// Abbreviated options are not allowed: a new option could change their meaning.
constexpr int optionStyle = options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;

constexpr std::string_view tlsPrefix = "https://";

constexpr std::string_view exitCodeHelp =
    "Exit codes: 0 success; 1 nothing was changed (no connection, or refused); 2 invalid command line or text;\n"
    "3 another publication came first; 4 outcome unknown; 5 not confirmed by more than half of the VMs in time.\n";

void addCommonOptions(const command &command, command_options &options)
{
    options.visible.add_options()("help", "print this help")("json", "print JSON");
    if (command.needsConnection) {
        options.visible.add_options()(
            "entry",
            options::value<std::vector<std::string>>()->value_name("[https://]IP:PORT"),
            "entry VM to connect to; may be repeated (environment: CROCUSLANE_ENTRY, separated by "
            "commas)")(
            "key", options::value<std::string>()->value_name("KEY"), "operator's key (environment: CROCUSLANE_KEY)")(
            "ca",
            options::value<std::string>()->value_name("FILE"),
            "PEM file of the certificate authorities to trust for https entries (default: those of the system)");
    }
}

std::string generalHelp()
{
    std::string text = "Usage: crocuslane COMMAND [OPTIONS] [ARGUMENTS]\n\n";
    for (const command &command : allCommands()) {
        text += fmt::format("  {:<10} {}\n", command.name, command.summary);
    }
    text += "\ncrocuslane COMMAND --help prints the options of a command.\n";
    text += exitCodeHelp;
    return text;
}

std::string commandHelp(const command &command, const command_options &options)
{
    std::ostringstream text;
    text << fmt::format("Usage: crocuslane {} [OPTIONS] {}\n{}\n{}\n",
                        command.name,
                        command.arguments,
                        command.summary,
                        command.details)
         << options.visible << '\n'
         << exitCodeHelp;
    return text.str();
}

leaf::result<exit_code>
runCommand(const command &command, const std::vector<std::string> &arguments, command_environment &environment)
{
    command_options commandOptions;
    addCommonOptions(command, commandOptions);
    command.addOptions(commandOptions);
    options::options_description all;
    all.add(commandOptions.visible).add(commandOptions.hidden);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(arguments)
                           .options(all)
                           .positional(commandOptions.positional)
                           .style(optionStyle)
                           .run(),
                       values);
        if (values.contains("help")) {
            environment.out << commandHelp(command, commandOptions);
            return exit_code::success;
        }
        options::notify(values);
    } catch (const options::error &error) {
        return leaf::new_error(usage_error{error.what()});
    }
    return command.run(values, environment);
}

} // namespace

const std::vector<command> &allCommands()
{
    static const std::vector<command> commands{checkCommand(),
                                               diffCommand(),
                                               publishCommand(),
                                               rolloutCommand(),
                                               withdrawCommand(),
                                               statusCommand(),
                                               groupsCommand(),
                                               billsCommand(),
                                               timelineCommand(),
                                               drainCommand()};
    return commands;
}

exit_code runCommandLine(const std::vector<std::string> &arguments, command_environment &environment)
{
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "help") {
        (arguments.empty() ? environment.err : environment.out) << generalHelp();
        return arguments.empty() ? exit_code::usage : exit_code::success;
    }
    if (arguments.front() == "--version") {
        environment.out << "crocuslane " CROCUSLANE_VERSION "\n";
        return exit_code::success;
    }
    const auto fail = [&environment](exit_code code, const std::string &message) {
        environment.err << "crocuslane: " << message << '\n';
        return code;
    };
    for (const command &command : allCommands()) {
        if (command.name != arguments.front()) {
            continue;
        }
        return leaf::try_handle_all(
            [&]() -> leaf::result<exit_code> {
                return runCommand(command, {arguments.begin() + 1, arguments.end()}, environment);
            },
            [&](const usage_error &error) {
                return fail(exit_code::usage,
                            fmt::format("{}\nTry: crocuslane {} --help", error.message, command.name));
            },
            [&](const client_error &error) { return fail(exit_code::failure, toText(error)); },
            [&](const configuration_error &error) {
                for (const configuration_problem &problem : error.problems) {
                    environment.err << toText(problem, "text") << '\n';
                }
                return exit_code::usage;
            },
            [&] { return fail(exit_code::failure, "unexpected error"); });
    }
    return fail(exit_code::usage, fmt::format("unknown command '{}'\nTry: crocuslane --help", arguments.front()));
}

leaf::result<connection> connection::open(const option_values &values, command_environment &environment)
{
    std::vector<std::string> entries;
    if (values.contains("entry")) {
        for (const std::string &entryList : values["entry"].as<std::vector<std::string>>()) {
            for (std::string &entry : splitList(entryList)) {
                entries.push_back(std::move(entry));
            }
        }
    } else if (environment.variables.contains("CROCUSLANE_ENTRY")) {
        entries = splitList(environment.variables.at("CROCUSLANE_ENTRY"));
    }
    if (entries.empty()) {
        return leaf::new_error(usage_error{"no entry VM given: use --entry IP:PORT or CROCUSLANE_ENTRY"});
    }
    std::size_t tlsEntries = 0;
    for (std::string &entry : entries) {
        const std::string originalEntry = entry;
        if (entry.starts_with(tlsPrefix)) {
            entry.erase(0, tlsPrefix.size());
            ++tlsEntries;
        }
        if (!isAddress(entry)) {
            return leaf::new_error(
                usage_error{fmt::format("--entry: found '{}', allowed: IP:PORT as 192.0.2.1:8080, or https://IP:PORT",
                                        printable(originalEntry))});
        }
    }
    // Entry VMs list the addresses of the others without a scheme, so all of them must use the same one.
    if (tlsEntries != 0 && tlsEntries != entries.size()) {
        return leaf::new_error(
            usage_error{"--entry: found entries with and without https://, allowed: either all or none with https://"});
    }
    transport_settings transport;
    transport.isTls = tlsEntries != 0;
    if (values.contains("ca")) {
        transport.caFile = values["ca"].as<std::string>();
        if (!transport.isTls) {
            return leaf::new_error(usage_error{"--ca: allowed only with entries as https://IP:PORT"});
        }
    }
    std::string &key = transport.key;
    if (values.contains("key")) {
        key = values["key"].as<std::string>();
    } else if (environment.variables.contains("CROCUSLANE_KEY")) {
        key = environment.variables.at("CROCUSLANE_KEY");
    }
    if (key.empty() || key.find_first_of("\r\n") != std::string::npos) {
        return leaf::new_error(usage_error{"no valid operator's key given: use --key KEY or CROCUSLANE_KEY"});
    }
    connection vmConnection;
    vmConnection.m_transport = environment.makeTransport(transport);
    vmConnection.m_client = std::make_unique<operator_client>(*vmConnection.m_transport, std::move(entries));
    return vmConnection;
}

operator_client &connection::client()
{
    return *m_client;
}

leaf::result<std::vector<vm_status>> connection::members()
{
    BOOST_LEAF_AUTO(status, m_client->status());
    return std::move(status.members);
}

std::vector<std::string> addressesOf(const std::vector<vm_status> &members)
{
    std::vector<std::string> addresses;
    addresses.reserve(members.size());
    for (const vm_status &member : members) {
        addresses.push_back(member.address);
    }
    return addresses;
}

bool wantsJson(const option_values &values)
{
    return values.contains("json");
}

leaf::result<std::string> readFile(const std::string &path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path, std::ios::binary);
    text << file.rdbuf();
    if (!file) {
        return leaf::new_error(usage_error{fmt::format("{}: {}", path, std::strerror(errno))});
    }
    return text.str();
}

} // namespace crocuslane
