#pragma once

#include "base/clock.h"
#include "operator_client.h"

#include <boost/leaf/result.hpp>
#include <boost/program_options.hpp>

#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocuslane {

/// Exit codes of the program, listed in its manual page.
enum class exit_code {
    success = 0,
    /// Nothing was changed: no VM could be reached, or the VM refused the request.
    failure = 1,
    /// Invalid command line, or a configuration text that fails the check.
    usage = 2,
    /// Another publication was the first to replace the version.
    conflict = 3,
    /// The outcome of a publication could not be determined.
    unknown_outcome = 4,
    /// Accepted in log order, but not confirmed by more than half of the entry VMs in time. Also used when a
    /// process has not ended in time after a request to stop.
    unconfirmed = 5,
};

/// Streams, clocks, environment variables and transport that commands use; tests pass substitutes.
struct command_environment {
    std::ostream &out;
    std::ostream &err;
    const clock &time;
    std::function<void(duration)> sleep;
    /// Whether standard error is a terminal.
    bool isTerminal = false;
    std::map<std::string, std::string> variables;
    std::function<std::unique_ptr<operator_transport>(const transport_settings &settings)> makeTransport;
};

/// Error object for an invalid command line.
struct usage_error {
    std::string message;
};

struct command_options {
    boost::program_options::options_description visible;
    boost::program_options::options_description hidden;
    boost::program_options::positional_options_description positional;
};

using option_values = boost::program_options::variables_map;

/// One subcommand.
struct command {
    std::string_view name;
    /// Arguments, as the help shows them.
    std::string_view arguments;
    std::string_view summary;
    /// More lines for the help of the command; may be empty.
    std::string_view details;
    bool needsConnection = false;
    void (*addOptions)(command_options &options);
    /// Error objects are usage_error, client_error and configuration_error.
    boost::leaf::result<exit_code> (*run)(const option_values &values, command_environment &environment);
};

/// All subcommands in the order of the help.
const std::vector<command> &allCommands();
/// @p arguments does not contain the name of the program.
exit_code runCommandLine(const std::vector<std::string> &arguments, command_environment &environment);

/// Client of the entry VMs that the connection options of a command name.
class connection
{
public:
    /// The error object is usage_error.
    static boost::leaf::result<connection> open(const option_values &values, command_environment &environment);

    operator_client &client();
    /// All entry VMs, as listed by the first entry that answers.
    boost::leaf::result<std::vector<vm_status>> members();

private:
    connection() = default;

    std::unique_ptr<operator_transport> m_transport;
    std::unique_ptr<operator_client> m_client;
};

std::vector<std::string> addressesOf(const std::vector<vm_status> &members);
bool wantsJson(const option_values &values);
/// Content of a file; "-" is standard input. The error object is usage_error.
boost::leaf::result<std::string> readFile(const std::string &path);

} // namespace crocuslane
