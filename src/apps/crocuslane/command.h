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

/// Exit codes of the command line, as its manual page lists them.
enum class exit_code {
    success = 0,
    /// Nothing was changed: a VM can't be reached, or it refused.
    failure = 1,
    /// Wrong command line, or a text that the check refuses.
    usage = 2,
    /// Another publication replaced the version first.
    conflict = 3,
    /// The outcome of a publication could not be found out.
    unknown_outcome = 4,
    /// First in order, but not confirmed by more than half of the entry VMs in time.
    unconfirmed = 5,
};

/// What a command may use of the world; tests pass their own.
struct command_environment {
    std::ostream &out;
    std::ostream &err;
    const clock &time;
    std::function<void(duration)> sleep;
    /// Standard error is a terminal.
    bool isTerminal = false;
    std::map<std::string, std::string> variables;
    std::function<std::unique_ptr<operator_transport>(const transport_settings &settings)> makeTransport;
};

/// Error object: the command line is wrong.
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
    void (*describe)(command_options &options);
    /// Error objects are usage_error, client_error and configuration_error.
    boost::leaf::result<exit_code> (*run)(const option_values &values, command_environment &environment);
};

/// All subcommands in the order of the help.
const std::vector<command> &allCommands();
/// Arguments without the name of the program.
exit_code runCommandLine(const std::vector<std::string> &arguments, command_environment &environment);

/// Connection options of a command.
class connection
{
public:
    /// The error object is usage_error.
    static boost::leaf::result<connection> open(const option_values &values, command_environment &environment);

    operator_client &client();
    /// Addresses of all entry VMs, as the first entry that answers lists them.
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
