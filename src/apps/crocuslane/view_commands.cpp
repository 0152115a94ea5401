#include "commands.h"
#include "json_output.h"
#include "progress_display.h"
#include "table.h"
#include "timeline.h"

#include <boost/leaf/error.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <ostream>

namespace crocuslane {

namespace options = boost::program_options;
namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

/// Bills count millionths of the currency unit.
constexpr double costUnit = 1e6;
constexpr double wholePercent = 100.0;
constexpr std::size_t maximumGroupQueries = 16;
constexpr std::chrono::milliseconds pollInterval{300};

void addNoOptions(command_options & /*commandOptions*/)
{
}

/// Reports each VM without an answer, so that operators see when a merged view is incomplete. Returns their number.
template<typename content>
std::size_t reportMissingAnswers(const std::vector<vm_answer<content>> &answers, command_environment &environment)
{
    std::size_t missingAnswers = 0;
    for (const vm_answer<content> &answer : answers) {
        if (!answer.value) {
            ++missingAnswers;
            environment.err << "crocuslane: not included: " << toText(answer.error) << '\n';
        }
    }
    return missingAnswers;
}

/// At most @p limit of the addresses, spread over the list.
std::vector<std::string> sample(const std::vector<std::string> &addresses, std::size_t limit)
{
    std::vector<std::string> sampled;
    const std::size_t count = std::min(addresses.size(), limit);
    sampled.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        sampled.push_back(addresses[index * addresses.size() / count]);
    }
    return sampled;
}

// status

std::string stateOf(const vm_status &member, const vm_answer<bool> &readiness)
{
    if (!readiness.value) {
        return "no answer";
    }
    if (member.isStopping) {
        return "stopping";
    }
    return *readiness.value ? "takes requests" : "takes no requests: configuration unconfirmed";
}

json statusAsJson(const node_status &status, const std::vector<vm_answer<bool>> &readiness)
{
    json vms = json::array();
    for (std::size_t index = 0; index < readiness.size(); ++index) {
        const vm_status &member = status.members[index];
        const vm_answer<bool> &answer = readiness[index];
        vms.push_back(
            {{"id", member.id},
             {"availability_zone", member.availabilityZone},
             {"region", member.region},
             {"address", member.address},
             {"configuration_version", member.configurationVersion},
             {"last_heard_age_s", member.lastContactAgeSeconds ? json(*member.lastContactAgeSeconds) : json(nullptr)},
             {"stopping", member.isStopping},
             {"answered", answer.value.has_value()},
             {"takes_requests", answer.value.value_or(false)}});
    }
    return vms;
}

/// Reports of the plug-ins of each VM that answered, as JSON objects by VM id.
json pluginsAsJson(const std::vector<vm_answer<node_status>> &answers)
{
    json plugins = json::object();
    for (const auto &answer : answers) {
        if (answer.value) {
            plugins[answer.value->id] = json::parse(answer.value->plugins);
        }
    }
    return plugins;
}

leaf::result<exit_code> runStatus(const option_values &values, command_environment &environment)
{
    BOOST_LEAF_AUTO(vmConnection, connection::open(values, environment));
    BOOST_LEAF_AUTO(status, vmConnection.client().status());
    const std::vector<std::string> addresses = addressesOf(status.members);
    const std::vector<vm_answer<bool>> readiness = vmConnection.client().readinessOf(addresses);
    if (wantsJson(values)) {
        json answer = {{"seen_from", status.id}, {"vms", statusAsJson(status, readiness)}};
        if (values.contains("plugins")) {
            const auto statuses = vmConnection.client().statusOf(addresses);
            reportMissingAnswers(statuses, environment);
            answer["plugins"] = pluginsAsJson(statuses);
        }
        printJson(environment.out, answer);
        return exit_code::success;
    }
    table rows({"VM", "ZONE", "REGION", "ADDRESS", "VERSION", "HEARD_S", "STATE"});
    for (std::size_t index = 0; index < readiness.size(); ++index) {
        const vm_status &member = status.members[index];
        rows.addRow({member.id,
                     member.availabilityZone,
                     member.region,
                     member.address,
                     std::to_string(member.configurationVersion),
                     member.lastContactAgeSeconds ? fmt::format("{:.1f}", *member.lastContactAgeSeconds) : "never",
                     stateOf(member, readiness[index])});
    }
    environment.out << rows.text();
    environment.err << fmt::format("seen from {}\n", status.id);
    return exit_code::success;
}

void addStatusOptions(command_options &commandOptions)
{
    commandOptions.visible.add_options()("plugins", "with --json: add what the plug-ins of each VM report");
}

// groups

/// Demand divided by the limit; 0 without a limit.
double demandRatio(const group_load &group)
{
    return group.limitPerSecond > 0.0 ? group.demandPerSecond / group.limitPerSecond : 0.0;
}

/// Each VM reports its own counts plus those that it received from the others. A VM that received counts from only a
/// few of them reports figures that are too small, so the largest figure of each group is used rather than a sum.
std::vector<group_load> mergeGroups(const std::vector<vm_answer<std::vector<group_load>>> &answers)
{
    std::map<std::string, group_load> byName;
    for (const auto &answer : answers) {
        if (!answer.value) {
            continue;
        }
        for (const group_load &load : *answer.value) {
            group_load &merged = byName.emplace(load.group, load).first->second;
            merged.service = load.service.size() > merged.service.size() ? load.service : merged.service;
            merged.demandPerSecond = std::max(merged.demandPerSecond, load.demandPerSecond);
            merged.limitPerSecond = std::max(merged.limitPerSecond, load.limitPerSecond);
            merged.admitted = std::max(merged.admitted, load.admitted);
            merged.refused = std::max(merged.refused, load.refused);
            merged.queued = std::max(merged.queued, load.queued);
            merged.tokensInFlight = std::max(merged.tokensInFlight, load.tokensInFlight);
        }
    }
    std::vector<group_load> groups;
    groups.reserve(byName.size());
    for (auto &[name, group] : byName) {
        groups.push_back(std::move(group));
    }
    std::stable_sort(groups.begin(), groups.end(), [](const group_load &left, const group_load &right) {
        return demandRatio(left) > demandRatio(right);
    });
    return groups;
}

json groupsAsJson(const std::vector<group_load> &groups)
{
    json list = json::array();
    for (const group_load &group : groups) {
        list.push_back({{"group", group.group},
                        {"organisation", group.organisation},
                        {"service", group.service},
                        {"demand_per_s", group.demandPerSecond},
                        {"limit_per_s", group.limitPerSecond},
                        {"admitted", group.admitted},
                        {"refused", group.refused},
                        {"queued", group.queued},
                        {"tokens_in_flight", group.tokensInFlight},
                        {"over_limit", demandRatio(group) > 1.0}});
    }
    return list;
}

void printGroups(const std::vector<group_load> &groups, command_environment &environment)
{
    std::size_t over = 0;
    for (const group_load &group : groups) {
        if (demandRatio(group) > 1.0) {
            environment.out << fmt::format("OVER ITS BOUND: {} demands {:.1f}/s, {:.1f} times its bound of {:.1f}/s\n",
                                           group.group,
                                           group.demandPerSecond,
                                           demandRatio(group),
                                           group.limitPerSecond);
            ++over;
        }
    }
    if (over == 0) {
        environment.out << "no caller group is over its bound\n";
    }
    table rows({"GROUP", "SERVICE", "DEMAND/S", "BOUND/S", "USED", "ADMITTED", "REFUSED", "QUEUED", "TOKENS"});
    for (const group_load &group : groups) {
        rows.addRow({group.group,
                     group.service,
                     fmt::format("{:.1f}", group.demandPerSecond),
                     fmt::format("{:.1f}", group.limitPerSecond),
                     fmt::format("{:.0f}%", demandRatio(group) * wholePercent),
                     std::to_string(group.admitted),
                     std::to_string(group.refused),
                     std::to_string(group.queued),
                     std::to_string(group.tokensInFlight)});
    }
    environment.out << rows.text();
}

leaf::result<exit_code> runGroups(const option_values &values, command_environment &environment)
{
    BOOST_LEAF_AUTO(vmConnection, connection::open(values, environment));
    BOOST_LEAF_AUTO(members, vmConnection.members());
    // Each VM reports figures of the whole deployment, so a few answers are enough.
    const auto answers = vmConnection.client().groupsOf(sample(addressesOf(members), maximumGroupQueries));
    const std::size_t missingAnswers = reportMissingAnswers(answers, environment);
    const std::vector<group_load> groups = mergeGroups(answers);
    if (wantsJson(values)) {
        printJson(environment.out, {{"groups", groupsAsJson(groups)}, {"vms_without_answer", missingAnswers}});
    } else {
        printGroups(groups, environment);
    }
    return exit_code::success;
}

// bills

leaf::result<exit_code> runBills(const option_values &values, command_environment &environment)
{
    BOOST_LEAF_AUTO(vmConnection, connection::open(values, environment));
    BOOST_LEAF_AUTO(list, vmConnection.client().bills());
    if (wantsJson(values)) {
        json totals = json::array();
        for (const organisation_total &total : list.totals) {
            totals.push_back(
                {{"organisation", total.organisation}, {"requests", total.requests}, {"cost", total.cost}});
        }
        printJson(environment.out, {{"totals", std::move(totals)}, {"bills", json::parse(list.bills)}});
        return exit_code::success;
    }
    table rows({"ORGANISATION", "REQUESTS", "COST"});
    for (const organisation_total &total : list.totals) {
        rows.addRow({total.organisation,
                     std::to_string(total.requests),
                     fmt::format("{:.6f}", static_cast<double>(total.cost) / costUnit)});
    }
    environment.out << rows.text();
    return exit_code::success;
}

// timeline

void addTimelineOptions(command_options &commandOptions)
{
    commandOptions.visible.add_options()(
        "request", options::value<std::string>()->default_value("")->value_name("ID"), "only events of this request")(
        "since",
        options::value<std::string>()->default_value("10m")->value_name("TIME"),
        "start time: 90s, 10m, 2h or 1d ago, or 2026-12-04T10:00:00Z")(
        "svg", options::value<std::string>()->value_name("FILE"), "also write an SVG picture with one lane per VM");
}

json timelineAsJson(const std::vector<timeline_event> &events)
{
    json list = json::array();
    for (const timeline_event &event : events) {
        list.push_back({{"time_ms", event.unixMilliseconds},
                        {"logical", event.logical},
                        {"vm", event.vm},
                        {"kind", event.kind},
                        {"request", event.request},
                        {"detail", event.detail}});
    }
    return list;
}

leaf::result<void> writeSvg(const std::string &path, const std::vector<timeline_event> &events)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << timelineSvg(events);
    file.flush();
    if (!file) {
        return leaf::new_error(usage_error{fmt::format("--svg: {} can't be written", path)});
    }
    return {};
}

leaf::result<exit_code> runTimeline(const option_values &values, command_environment &environment)
{
    const std::string sinceText = values["since"].as<std::string>();
    const auto since = parseSince(sinceText, unixMilliseconds(environment.time.systemNow()));
    if (!since) {
        return leaf::new_error(usage_error{
            fmt::format("--since: found '{}', allowed: 90s, 10m, 2h, 1d or 2026-12-04T10:00:00Z", sinceText)});
    }
    BOOST_LEAF_AUTO(vmConnection, connection::open(values, environment));
    BOOST_LEAF_AUTO(members, vmConnection.members());
    const auto answers = vmConnection.client().timelineOf(
        addressesOf(members), values["request"].as<std::string>(), std::max<std::int64_t>(*since, 0));
    const std::size_t missingAnswers = reportMissingAnswers(answers, environment);
    std::vector<std::vector<timeline_event>> lists;
    for (const auto &answer : answers) {
        if (answer.value) {
            lists.push_back(*answer.value);
        }
    }
    const std::vector<timeline_event> events = mergeTimelines(lists);
    if (values.contains("svg")) {
        leaf::result<void> written = writeSvg(values["svg"].as<std::string>(), events);
        if (!written) {
            return written.error();
        }
    }
    if (wantsJson(values)) {
        printJson(environment.out, {{"events", timelineAsJson(events)}, {"vms_without_answer", missingAnswers}});
    } else {
        environment.out << timelineText(events);
    }
    return exit_code::success;
}

// drain

void addDrainOptions(command_options &commandOptions)
{
    commandOptions.hidden.add_options()("vm", options::value<std::string>()->required());
    commandOptions.positional.add("vm", 1);
    commandOptions.visible.add_options()("wait",
                                         options::value<double>()->default_value(0.0)->value_name("SECONDS"),
                                         "wait at most this long for the process to end");
}

/// True when no connection to the VM is possible any more within @p wait, which counts as the end of its process.
bool waitForEnd(operator_client &client, const std::string &address, duration wait, command_environment &environment)
{
    const steady_time deadline = environment.time.steadyNow() + wait;
    progress_display progress(environment.err, environment.isTerminal);
    while (environment.time.steadyNow() < deadline) {
        const auto answer = client.statusOf({address}).front();
        if (!answer.value && answer.error.failure == client_failure::unreachable) {
            progress.update(fmt::format("{} has stopped", address));
            return true;
        }
        progress.update(fmt::format("{} is finishing requests in progress", address));
        environment.sleep(pollInterval);
    }
    return false;
}

leaf::result<exit_code> runDrain(const option_values &values, command_environment &environment)
{
    const std::string vm = values["vm"].as<std::string>();
    const double seconds = values["wait"].as<double>();
    constexpr double maximumWaitSeconds = 86'400.0;
    // This form also refuses NaN.
    if (!(seconds >= 0.0 && seconds <= maximumWaitSeconds)) {
        return leaf::new_error(usage_error{"--wait: allowed: 0 to 86400 seconds"});
    }
    BOOST_LEAF_AUTO(vmConnection, connection::open(values, environment));
    BOOST_LEAF_AUTO(members, vmConnection.members());
    const auto member =
        std::find_if(members.begin(), members.end(), [&vm](const vm_status &entry) { return entry.id == vm; });
    if (member == members.end()) {
        return leaf::new_error(
            usage_error{fmt::format("there is no entry VM '{}'; crocuslane status lists all entry VMs", vm)});
    }
    leaf::result<void> drained = vmConnection.client().drain(member->address);
    if (!drained) {
        return drained.error();
    }
    const bool hasEnded =
        seconds > 0.0 && waitForEnd(vmConnection.client(), member->address, fromSeconds(seconds), environment);
    if (wantsJson(values)) {
        printJson(environment.out, {{"vm", vm}, {"stopping", true}, {"ended", hasEnded}});
    } else {
        environment.out << fmt::format("{} {}\n", vm, hasEnded ? "has stopped" : "is stopping");
    }
    return hasEnded || seconds == 0.0 ? exit_code::success : exit_code::unconfirmed;
}

} // namespace

const command &statusCommand()
{
    static const command command{"status",
                                 "",
                                 "show each entry VM: configuration version and readiness",
                                 "Versions are the newest that the answering VM has received from each VM.",
                                 true,
                                 addStatusOptions,
                                 runStatus};
    return command;
}

const command &groupsCommand()
{
    static const command command{
        "groups",
        "",
        "show demand, bound, and admitted, refused and queued requests of each caller group",
        "Figures are for the whole deployment, sorted by the share of the bound that the group demands.",
        true,
        addNoOptions,
        runGroups};
    return command;
}

const command &billsCommand()
{
    static const command command{"bills",
                                 "",
                                 "show requests and cost per organisation",
                                 "Each request id counts once. --json also prints the individual bills.",
                                 true,
                                 addNoOptions,
                                 runBills};
    return command;
}

const command &timelineCommand()
{
    static const command command{"timeline",
                                 "",
                                 "show events of all entry VMs in one order",
                                 "Ordered by hybrid logical time: an effect never comes before its cause.",
                                 true,
                                 addTimelineOptions,
                                 runTimeline};
    return command;
}

const command &drainCommand()
{
    static const command command{
        "drain",
        "VM",
        "stop the process of an entry VM gracefully",
        "The VM is removed from the entry advice, finishes requests in progress and its process ends.",
        true,
        addDrainOptions,
        runDrain};
    return command;
}

} // namespace crocuslane
