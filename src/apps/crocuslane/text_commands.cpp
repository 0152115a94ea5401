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

void describeCheck(command_options &described)
{
    described.hidden.add_options()("file", options::value<std::string>()->required());
    described.positional.add("file", 1);
}

leaf::result<configuration> readChecked(const std::string &path)
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

leaf::result<configuration> readRunning(const option_values &values, command_environment &environment)
{
    BOOST_LEAF_AUTO(opened, connection::open(values, environment));
    BOOST_LEAF_AUTO(running, opened.client().configuration());
    if (running.version == 0) {
        return configuration{};
    }
    return readConfiguration(running.text);
}

leaf::result<exit_code> runDiff(const option_values &values, command_environment &environment)
{
    const auto files = values["files"].as<std::vector<std::string>>();
    const bool isAgainstRunning = files.size() == 1;
    if (files.size() > 2) {
        return leaf::new_error(usage_error{"diff takes one or two files"});
    }
    BOOST_LEAF_AUTO(after, readChecked(files.back()));
    BOOST_LEAF_AUTO(before, isAgainstRunning ? readRunning(values, environment) : readChecked(files.front()));
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

void describeDiff(command_options &described)
{
    described.hidden.add_options()("files", options::value<std::vector<std::string>>()->required());
    described.positional.add("files", -1);
}

} // namespace

const command &checkCommand()
{
    static const command command{"check",
                                 "FILE",
                                 "report all faults of a configuration text, with file and line",
                                 "FILE may be - for standard input.",
                                 false,
                                 describeCheck,
                                 runCheck};
    return command;
}

const command &diffCommand()
{
    static const command command{"diff",
                                 "OLD NEW | FILE",
                                 "show the differences in meaning between two texts, or to the running version",
                                 "With one FILE the difference is what a publication of FILE would change.",
                                 true,
                                 describeDiff,
                                 runDiff};
    return command;
}

} // namespace crocuslane
