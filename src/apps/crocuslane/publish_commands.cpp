#include "commands.h"
#include "configuration/checker.h"
#include "configuration/difference.h"
#include "configuration/key_table.h"
#include "configuration/text_edit.h"
#include "json_output.h"
#include "progress_display.h"
#include "publisher.h"
#include "table.h"

#include <boost/leaf/error.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <ostream>

namespace crocuslane {

namespace options = boost::program_options;
namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

constexpr double defaultWaitSeconds = 30.0;
constexpr double defaultFreshnessSeconds = 6.0;
constexpr double maximumSeconds = 86'400.0;
constexpr double wholePercent = 100.0;

void addPublicationOptions(command_options &commandOptions)
{
    commandOptions.visible.add_options()("dry-run", "check and show the changes, publish nothing")(
        "reactivate", "allow the text to reactivate a withdrawn version")(
        "wait",
        options::value<double>()->default_value(defaultWaitSeconds)->value_name("SECONDS"),
        "longest wait for the outcome, and for confirmations")(
        "freshness",
        options::value<double>()->default_value(defaultFreshnessSeconds)->value_name("SECONDS"),
        "freshness limit of the deployment (limits.freshness_s)");
}

leaf::result<duration> readSeconds(const option_values &values, const char *name)
{
    const double seconds = values[name].as<double>();
    // This form also refuses NaN.
    if (!(seconds >= 0.0 && seconds <= maximumSeconds)) {
        return leaf::new_error(usage_error{fmt::format("--{}: allowed: 0 to {} seconds", name, maximumSeconds)});
    }
    return fromSeconds(seconds);
}

leaf::result<configuration> checkText(const std::string &text, const std::string &source)
{
    check_result result = checkConfiguration(text);
    if (!result.value) {
        for (configuration_problem &problem : result.problems) {
            problem.source = source;
        }
        return leaf::new_error(configuration_error{std::move(result.problems)});
    }
    return std::move(*result.value);
}

void showChanges(const published_configuration &running, const configuration &after, command_environment &environment)
{
    if (running.version == 0) {
        environment.err << "first version of this deployment\n";
        return;
    }
    // The running text passed the check of the VMs, whose program may be newer than this one.
    const check_result before = checkConfiguration(running.text);
    if (!before.value) {
        environment.err
            << "changes: not shown, because the running text is not valid for this version of the program\n";
        return;
    }
    for (const configuration_change &change : diffConfigurations(*before.value, after)) {
        environment.err << "  " << toText(change) << '\n';
    }
}

/// Withdrawn versions that a text would reactivate. Without this check, publishing a text from before a withdrawal
/// would undo the withdrawal unnoticed.
std::vector<std::string> reactivatedVersions(const published_configuration &running, const configuration &after)
{
    const check_result before = checkConfiguration(running.text);
    std::vector<std::string> names;
    if (!before.value) {
        return names;
    }
    for (const auto &[id, version] : before.value->versions) {
        const auto newVersion = after.versions.find(id);
        if (version.state == version_state::withdrawn && newVersion != after.versions.end()
            && newVersion->second.state != version_state::withdrawn) {
            names.push_back(id.value());
        }
    }
    return names;
}

void printConfirmations(const confirmation_result &confirmations,
                        const publisher_settings &settings,
                        command_environment &environment)
{
    table rows({"VM", "ZONE", "ADDRESS", "VERSION", "STATE"});
    for (const vm_confirmation &vm : confirmations.vms) {
        rows.addRow({vm.id,
                     vm.availabilityZone,
                     vm.address,
                     vm.version == 0 ? "-" : std::to_string(vm.version),
                     vm.isConfirmed ? "in force"
                                    : fmt::format("not confirmed; takes no requests after {} s",
                                                  toSeconds(settings.freshnessLimit))});
    }
    environment.out << rows.text();
}

json confirmationsAsJson(const confirmation_result &confirmations)
{
    json vms = json::array();
    for (const vm_confirmation &vm : confirmations.vms) {
        vms.push_back({{"id", vm.id},
                       {"availability_zone", vm.availabilityZone},
                       {"address", vm.address},
                       {"version", vm.version},
                       {"confirmed", vm.isConfirmed}});
    }
    return vms;
}

exit_code reportAccepted(const publication_result &published,
                         const confirmation_result &confirmations,
                         const publisher_settings &settings,
                         const option_values &values,
                         command_environment &environment)
{
    if (wantsJson(values)) {
        printJson(environment.out,
                  {{"accepted", true},
                   {"version", published.version},
                   {"confirmed_by_majority", confirmations.isConfirmedByMajority},
                   {"confirmed_by_all", confirmations.isConfirmedByAll},
                   {"vms", confirmationsAsJson(confirmations)}});
    } else {
        printConfirmations(confirmations, settings, environment);
        if (confirmations.isConfirmedByAll) {
            environment.out << fmt::format("version {} is in force everywhere\n", published.version);
        } else if (confirmations.isConfirmedByMajority) {
            environment.out << fmt::format("version {} is in force; VMs that did not confirm take no requests\n",
                                           published.version);
        } else {
            environment.out << fmt::format(
                "version {} is first in log order, but not confirmed by more than half of the VMs\n",
                published.version);
        }
    }
    return confirmations.isConfirmedByMajority ? exit_code::success : exit_code::unconfirmed;
}

exit_code
reportFailure(const publication_result &published, const option_values &values, command_environment &environment)
{
    const bool isConflict = published.outcome == publication_outcome::conflict;
    const bool isUnknown = published.outcome == publication_outcome::unknown;
    const std::string_view outcome = isConflict ? "conflict" : isUnknown ? "unknown" : "refused";
    if (wantsJson(values)) {
        printJson(environment.out,
                  {{"accepted", false},
                   {"outcome", outcome},
                   {"version", published.version},
                   {"message", published.message}});
    }
    if (isConflict) {
        environment.err << fmt::format("crocuslane: not published, another publication came first: {}\n"
                                       "Look at its changes with crocuslane diff FILE, then publish again.\n",
                                       published.message);
        return exit_code::conflict;
    }
    if (isUnknown) {
        environment.err << fmt::format("crocuslane: the outcome is unknown: {}\n"
                                       "Publishing the same text again is safe: it takes effect at most once.\n",
                                       published.message);
        return exit_code::unknown_outcome;
    }
    environment.err << fmt::format("crocuslane: not published: {}\n", published.message);
    return exit_code::failure;
}

/// Shows the changes from @p running to the checked configuration @p after, publishes the text of @p after, and waits
/// for confirmations.
leaf::result<exit_code> publishChecked(connection &vmConnection,
                                       const published_configuration &running,
                                       std::uint64_t replaced,
                                       const configuration &after,
                                       const option_values &values,
                                       command_environment &environment)
{
    publisher_settings settings;
    BOOST_LEAF_AUTO(wait, readSeconds(values, "wait"));
    BOOST_LEAF_AUTO(freshness, readSeconds(values, "freshness"));
    settings.maximumWait = wait;
    settings.freshnessLimit = freshness;
    const bool isInForce = running.version > 0 && running.hash == hashConfiguration(after.text);
    if (isInForce) {
        environment.err << fmt::format("the same text is in force as version {}\n", running.version);
    } else {
        environment.err << fmt::format(
            "replaces version {}; version {} is in force (hash {})\n", replaced, running.version, running.hash);
        showChanges(running, after, environment);
    }
    const std::vector<std::string> reactivated = reactivatedVersions(running, after);
    if (!reactivated.empty() && !values.contains("reactivate")) {
        return leaf::new_error(usage_error{
            fmt::format("the text would reactivate withdrawn versions: {}; update the text, or use --reactivate",
                        joinList(reactivated))});
    }
    if (values.contains("dry-run")) {
        if (wantsJson(values)) {
            printJson(environment.out, {{"dry_run", true}, {"replaces", replaced}, {"text", after.text}});
        }
        return exit_code::success;
    }
    publication_result published{publication_outcome::accepted, running.version, {}};
    confirmation_result confirmations;
    {
        progress_display progress(environment.err, environment.isTerminal);
        publisher publisher(vmConnection.client(), environment, progress, settings);
        if (!isInForce) {
            published = publisher.publish(replaced, after.text);
        }
        if (published.outcome == publication_outcome::accepted) {
            confirmations = publisher.waitForConfirmations(published.version);
        }
    }
    if (published.outcome != publication_outcome::accepted) {
        return reportFailure(published, values, environment);
    }
    return reportAccepted(published, confirmations, settings, values, environment);
}

leaf::result<exit_code> runPublish(const option_values &values, command_environment &environment)
{
    const std::string path = values["file"].as<std::string>();
    BOOST_LEAF_AUTO(text, readFile(path));
    BOOST_LEAF_AUTO(after, checkText(text, path));
    BOOST_LEAF_AUTO(vmConnection, connection::open(values, environment));
    BOOST_LEAF_AUTO(running, vmConnection.client().configuration());
    std::uint64_t replaced = running.version;
    if (values.contains("replaces")) {
        replaced = values["replaces"].as<std::uint64_t>();
    }
    return publishChecked(vmConnection, running, replaced, after, values, environment);
}

void addPublishOptions(command_options &commandOptions)
{
    commandOptions.hidden.add_options()("file", options::value<std::string>()->required());
    commandOptions.positional.add("file", 1);
    commandOptions.visible.add_options()(
        "replaces",
        options::value<std::uint64_t>()->value_name("N"),
        "version that FILE is based on; refused when another version is in force (default: the running version)");
    addPublicationOptions(commandOptions);
}

void addEditOptions(command_options &commandOptions)
{
    commandOptions.hidden.add_options()("version", options::value<std::string>()->required());
    commandOptions.positional.add("version", 1);
    commandOptions.visible.add_options()("output",
                                         options::value<std::string>()->value_name("FILE"),
                                         "write the edited text to FILE too, for version control");
    addPublicationOptions(commandOptions);
}

leaf::result<void> writeOutput(const option_values &values, const std::string &text)
{
    if (!values.contains("output")) {
        return {};
    }
    const std::string path = values["output"].as<std::string>();
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << text;
    file.flush();
    if (!file) {
        return leaf::new_error(usage_error{fmt::format("--output: {} can't be written", path)});
    }
    return {};
}

leaf::result<exit_code> publishEdit(connection &vmConnection,
                                    const published_configuration &running,
                                    const std::string &edited,
                                    const option_values &values,
                                    command_environment &environment)
{
    BOOST_LEAF_AUTO(after, checkText(edited, "edited text"));
    leaf::result<void> written = writeOutput(values, edited);
    if (!written) {
        return written.error();
    }
    return publishChecked(vmConnection, running, running.version, after, values, environment);
}

leaf::result<exit_code> runWithdraw(const option_values &values, command_environment &environment)
{
    BOOST_LEAF_AUTO(vmConnection, connection::open(values, environment));
    BOOST_LEAF_AUTO(running, vmConnection.client().configuration());
    BOOST_LEAF_AUTO(before, checkText(running.text, "running text"));
    const std::string version = values["version"].as<std::string>();
    if (!before.versions.contains(version_id(version))) {
        return leaf::new_error(usage_error{fmt::format("version {} is not in the running text", version)});
    }
    return publishEdit(vmConnection, running, withWithdrawal(running.text, version), values, environment);
}

leaf::result<std::string> replacedVersion(const option_values &values, const configuration &before)
{
    if (values.contains("replaced")) {
        return values["replaced"].as<std::string>();
    }
    const auto current = before.versions.find(version_id(values["version"].as<std::string>()));
    if (current != before.versions.end() && current->second.replaces) {
        return current->second.replaces->value();
    }
    return leaf::new_error(usage_error{"use --replaced VERSION to name the version that is to be replaced"});
}

leaf::result<exit_code> runRollout(const option_values &values, command_environment &environment)
{
    const bool isFinish = values.contains("finish");
    if (isFinish == values.contains("percent")) {
        return leaf::new_error(usage_error{"use either --percent P or --finish"});
    }
    BOOST_LEAF_AUTO(vmConnection, connection::open(values, environment));
    BOOST_LEAF_AUTO(running, vmConnection.client().configuration());
    BOOST_LEAF_AUTO(before, checkText(running.text, "running text"));
    BOOST_LEAF_AUTO(replaced, replacedVersion(values, before));
    const std::string version = values["version"].as<std::string>();
    std::string edited = running.text;
    if (isFinish) {
        if (!before.versions.contains(version_id(version))) {
            return leaf::new_error(usage_error{fmt::format("version {} is not in the running text", version)});
        }
        edited = withPromotion(edited, version, replaced);
    } else {
        const double percent = values["percent"].as<double>();
        if (!(percent >= 0.0 && percent <= wholePercent)) {
            return leaf::new_error(usage_error{"--percent: allowed: 0 to 100"});
        }
        edited = withCanary(edited, {version, replaced, percent});
    }
    if (values.contains("same-rights")) {
        edited = withSameRights(edited, version, replaced);
    }
    return publishEdit(vmConnection, running, edited, values, environment);
}

void addRolloutOptions(command_options &commandOptions)
{
    commandOptions.visible.add_options()(
        "percent", options::value<double>()->value_name("P"), "make VERSION a canary with P percent of new sessions")(
        "finish", "make VERSION active, and the version that it replaces draining")(
        "replaced",
        options::value<std::string>()->value_name("VERSION"),
        "version that is to be replaced (default: as in the running text)")(
        "same-rights", "allow VERSION to every organisation that may use the replaced version");
    addEditOptions(commandOptions);
}

} // namespace

const command &publishCommand()
{
    static const command command{
        "publish",
        "FILE",
        "publish a configuration text and wait until it is in force on each VM",
        "The text is checked first; the changes and the version that it replaces are printed to standard error.",
        true,
        addPublishOptions,
        runPublish};
    return command;
}

const command &withdrawCommand()
{
    static const command command{"withdraw",
                                 "VERSION",
                                 "withdraw a version: edit the running text and publish it",
                                 "A withdrawn version gets no new request; requests in flight continue.",
                                 true,
                                 addEditOptions,
                                 runWithdraw};
    return command;
}

const command &rolloutCommand()
{
    static const command command{"rollout",
                                 "VERSION",
                                 "start, step or finish a roll-out: edit the running text and publish it",
                                 "Usual stages are 1, 5, 20, 50 and 100 percent, then --finish.",
                                 true,
                                 addRolloutOptions,
                                 runRollout};
    return command;
}

} // namespace crocuslane
