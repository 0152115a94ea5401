#include "commands.h"
#include "configuration/checker.h"
#include "configuration/difference.h"
#include "json_output.h"

#include <boost/leaf/error.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <ostream>

namespace crocuslane {

namespace options = boost::program_options;
namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

json problemsAsJson(const std::vector<configuration_problem> &problems, const std::string &file)
{
    json list = json::array();
    for (const configuration_problem &problem : problems) {
        list.push_back({{"file", file},
                        {"line", problem.line},
                        {"code", toName(problem.code)},
                        {"section", problem.section},
                        {"key", problem.key},
                        {"found", problem.found},
                        {"allowed", problem.allowed}});
    }
    return list;
}

leaf::result<exit_code> runCheck(const option_values &values, command_environment &environment)
{
    const std::string path = values["file"].as<std::string>();
    BOOST_LEAF_AUTO(text, readFile(path));
    const check_result result = checkConfiguration(text);
    if (wantsJson(values)) {
        const json answer = {{"valid", result.value.has_value()},
                             {"hash", hashConfiguration(text)},
                             {"problems", problemsAsJson(result.problems, path)}};
        printJson(environment.out, answer);
    } else if (result.value) {
        environment.out << fmt::format("{}: valid; {} services, {} versions, {} organisations, {} caller groups\n",
                                       path,
                                       result.value->services.size(),
                                       result.value->versions.size(),
                                       result.value->organisations.size(),
                                       result.value->callerGroups.size());
    } else {
        for (const configuration_problem &problem : result.problems) {
            environment.out << toText(problem, path) << '\n';
        }
        environment.err << fmt::format("crocuslane: {}: problems: {}\n", path, result.problems.size());
    }
    return result.value ? exit_code::success : exit_code::usage;
}

void addCheckOptions(command_options &commandOptions)
{
    commandOptions.hidden.add_options()("file", options::value<std::string>()->required());
    commandOptions.positional.add("file", 1);
}

leaf::result<configuration> readCheckedConfiguration(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    check_result result = checkConfiguration(text);
    if (!result.value) {
        for (configuration_problem &problem : result.problems) {
            problem.source = path;
        }
        return leaf::new_error(configuration_error{std::move(result.problems)});
    }
    return std::move(*result.value);
}

leaf::result<configuration> readRunningConfiguration(const option_values &values, command_environment &environment)
{
    BOOST_LEAF_AUTO(vmConnection, connection::open(values, environment));
    BOOST_LEAF_AUTO(running, vmConnection.client().configuration());
    if (running.version == 0) {
        return configuration{};
    }
    return readConfiguration(running.text);
}

leaf::result<exit_code> runDiff(const option_values &values, command_environment &environment)
{
    const auto files = values["files"].as<std::vector<std::string>>();
    const bool comparesWithRunning = files.size() == 1;
    if (files.size() > 2) {
        return leaf::new_error(usage_error{"diff takes one or two files"});
    }
    BOOST_LEAF_AUTO(after, readCheckedConfiguration(files.back()));
    BOOST_LEAF_AUTO(before,
                    comparesWithRunning ? readRunningConfiguration(values, environment)
                                        : readCheckedConfiguration(files.front()));
    const std::vector<configuration_change> changes = diffConfigurations(before, after);
    if (wantsJson(values)) {
        json list = json::array();
        for (const configuration_change &change : changes) {
            list.push_back({{"type", toName(change.type)},
                            {"section", change.section},
                            {"key", change.key},
                            {"old", change.oldValue},
                            {"new", change.newValue}});
        }
        printJson(environment.out, {{"changes", std::move(list)}});
        return exit_code::success;
    }
    for (const configuration_change &change : changes) {
        environment.out << toText(change) << '\n';
    }
    if (changes.empty()) {
        environment.err << "crocuslane: no difference in meaning\n";
    }
    return exit_code::success;
}

void addDiffOptions(command_options &commandOptions)
{
    commandOptions.hidden.add_options()("files", options::value<std::vector<std::string>>()->required());
    commandOptions.positional.add("files", -1);
}

} // namespace

const command &checkCommand()
{
    static const command command{"check",
                                 "FILE",
                                 "report all problems of a configuration text, with file and line",
                                 "FILE may be - for standard input.",
                                 false,
                                 addCheckOptions,
                                 runCheck};
    return command;
}

const command &diffCommand()
{
    static const command command{
        "diff",
        "OLD NEW | FILE",
        "show the differences in meaning between two texts, or between the running version and a text",
        "With one FILE, the command shows what publishing FILE would change.",
        true,
        addDiffOptions,
        runDiff};
    return command;
}

} // namespace crocuslane
