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

constexpr double costUnit = 1e6;
constexpr double wholePercent = 100.0;
constexpr std::size_t groupQueries = 16;
constexpr std::chrono::milliseconds pollInterval{300};

void describeNothing(command_options & /*described*/)
{
}

/// Names each VM that gave no answer, so that a merged view is not taken for a complete one.
template<typename content>
std::size_t reportSilent(const std::vector<vm_answer<content>> &answers, command_environment &environment)
{
    std::size_t silent = 0;
    for (const vm_answer<content> &answer : answers) {
        if (!answer.value) {
            ++silent;
            environment.err << "crocuslane: not included: " << toText(answer.error) << '\n';
        }
    }
    return silent;
}

/// At most @p limit of the addresses, spread over the list.
std::vector<std::string> sample(const std::vector<std::string> &addresses, std::size_t limit)
{
    std::vector<std::string> chosen;
    const std::size_t count = std::min(addresses.size(), limit);
    chosen.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        chosen.push_back(addresses[index * addresses.size() / count]);
    }
    return chosen;
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

json statusAsJson(const node_status &seen, const std::vector<vm_answer<bool>> &readiness)
{
    json vms = json::array();
    for (std::size_t index = 0; index < readiness.size(); ++index) {
        const vm_status &member = seen.members[index];
        const vm_answer<bool> &answer = readiness[index];
        vms.push_back(
            {{"id", member.id},
             {"availability_zone", member.availabilityZone},
             {"region", member.region},
             {"address", member.address},
             {"configuration_version", member.configurationVersion},
             {"last_heard_age_s", member.lastHeardAgeSeconds ? json(*member.lastHeardAgeSeconds) : json(nullptr)},
             {"stopping", member.isStopping},
             {"answered", answer.value.has_value()},
             {"takes_requests", answer.value.value_or(false)}});
    }
    return vms;
}

/// Status of single VMs as JSON objects by address; what their plug-ins report.
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
    BOOST_LEAF_AUTO(opened, connection::open(values, environment));
    BOOST_LEAF_AUTO(seen, opened.client().status());
    const std::vector<std::string> addresses = addressesOf(seen.members);
    const std::vector<vm_answer<bool>> readiness = opened.client().readinessOf(addresses);
    if (wantsJson(values)) {
        json answer = {{"seen_from", seen.id}, {"vms", statusAsJson(seen, readiness)}};
        if (values.contains("plugins")) {
            const auto statuses = opened.client().statusOf(addresses);
            reportSilent(statuses, environment);
            answer["plugins"] = pluginsAsJson(statuses);
        }
        printJson(environment.out, answer);
        return exit_code::success;
    }
    table rows({"VM", "ZONE", "REGION", "ADDRESS", "VERSION", "HEARD_S", "STATE"});
    for (std::size_t index = 0; index < readiness.size(); ++index) {
        const vm_status &member = seen.members[index];
        rows.addRow({member.id,
                     member.availabilityZone,
                     member.region,
                     member.address,
                     std::to_string(member.configurationVersion),
                     member.lastHeardAgeSeconds ? fmt::format("{:.1f}", *member.lastHeardAgeSeconds) : "never",
                     stateOf(member, readiness[index])});
    }
    environment.out << rows.text();
    environment.err << fmt::format("seen from {}\n", seen.id);
    return exit_code::success;
}

void describeStatus(command_options &described)
{
    described.visible.add_options()("plugins", "with --json: ask each VM for what its plug-ins report");
}

// groups

double shareOf(const group_load &group)
{
    return group.limitPerSecond > 0.0 ? group.demandPerSecond / group.limitPerSecond : 0.0;
}

/// Each VM reports what it counted itself plus what it heard from the others. A VM that hears few of them reports too
/// little, so the largest figure of each group is taken rather than a sum.
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
        return shareOf(left) > shareOf(right);
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
                        {"over_limit", shareOf(group) > 1.0}});
    }
    return list;
}

void printGroups(const std::vector<group_load> &groups, command_environment &environment)
{
    std::size_t over = 0;
    for (const group_load &group : groups) {
        if (shareOf(group) > 1.0) {
            environment.out << fmt::format("OVER ITS BOUND: {} demands {:.1f}/s, {:.1f} times its bound of {:.1f}/s\n",
                                           group.group,
                                           group.demandPerSecond,
                                           shareOf(group),
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
                     fmt::format("{:.0f}%", shareOf(group) * wholePercent),
                     std::to_string(group.admitted),
                     std::to_string(group.refused),
                     std::to_string(group.queued),
                     std::to_string(group.tokensInFlight)});
    }
    environment.out << rows.text();
}

leaf::result<exit_code> runGroups(const option_values &values, command_environment &environment)
{
    BOOST_LEAF_AUTO(opened, connection::open(values, environment));
    BOOST_LEAF_AUTO(members, opened.members());
    // Each VM reports the whole deployment, so that a few are enough.
    const auto answers = opened.client().groupsOf(sample(addressesOf(members), groupQueries));
    const std::size_t silent = reportSilent(answers, environment);
    const std::vector<group_load> groups = mergeGroups(answers);
    if (wantsJson(values)) {
        printJson(environment.out, {{"groups", groupsAsJson(groups)}, {"vms_without_answer", silent}});
    } else {
        printGroups(groups, environment);
    }
    return exit_code::success;
}

// bills

leaf::result<exit_code> runBills(const option_values &values, command_environment &environment)
{
    BOOST_LEAF_AUTO(opened, connection::open(values, environment));
    BOOST_LEAF_AUTO(list, opened.client().bills());
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

void describeTimeline(command_options &described)
{
    described.visible.add_options()(
        "request", options::value<std::string>()->default_value("")->value_name("ID"), "only events of this request")(
        "since",
        options::value<std::string>()->default_value("10m")->value_name("TIME"),
        "first time: 90s, 10m, 2h or 1d ago, or 2026-12-04T10:00:00Z")(
        "svg", options::value<std::string>()->value_name("FILE"), "also write a picture with one lane per process");
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
    BOOST_LEAF_AUTO(opened, connection::open(values, environment));
    BOOST_LEAF_AUTO(members, opened.members());
    const auto answers = opened.client().timelineOf(
        addressesOf(members), values["request"].as<std::string>(), std::max<std::int64_t>(*since, 0));
    const std::size_t silent = reportSilent(answers, environment);
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
        printJson(environment.out, {{"events", timelineAsJson(events)}, {"vms_without_answer", silent}});
    } else {
        environment.out << timelineText(events);
    }
    return exit_code::success;
}

// drain

void describeDrain(command_options &described)
{
    described.hidden.add_options()("vm", options::value<std::string>()->required());
    described.positional.add("vm", 1);
    described.visible.add_options()("wait",
                                    options::value<double>()->default_value(0.0)->value_name("SECONDS"),
                                    "wait this long for the end of the process");
}

/// True when the VM stopped answering before the deadline.
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
        progress.update(fmt::format("{} finishes requests in progress", address));
        environment.sleep(pollInterval);
    }
    return false;
}

leaf::result<exit_code> runDrain(const option_values &values, command_environment &environment)
{
    const std::string vm = values["vm"].as<std::string>();
    const double seconds = values["wait"].as<double>();
    constexpr double longestWait = 86'400.0;
    // Also refuses what is not a number.
    if (!(seconds >= 0.0 && seconds <= longestWait)) {
        return leaf::new_error(usage_error{"--wait: allowed: 0 to 86400 seconds"});
    }
    BOOST_LEAF_AUTO(opened, connection::open(values, environment));
    BOOST_LEAF_AUTO(members, opened.members());
    const auto member =
        std::find_if(members.begin(), members.end(), [&vm](const vm_status &entry) { return entry.id == vm; });
    if (member == members.end()) {
        return leaf::new_error(usage_error{fmt::format("no entry VM '{}'; crocuslane status lists them", vm)});
    }
    leaf::result<void> drained = opened.client().drain(member->address);
    if (!drained) {
        return drained.error();
    }
    const bool hasEnded =
        seconds > 0.0 && waitForEnd(opened.client(), member->address, fromSeconds(seconds), environment);
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
                                 "show each entry VM: configuration version, whether it takes requests",
                                 "Versions are those that the answering VM has heard of.",
                                 true,
                                 describeStatus,
                                 runStatus};
    return command;
}

const command &groupsCommand()
{
    static const command command{"groups",
                                 "",
                                 "show per caller group demand, bound, admitted, refused and queued requests",
                                 "For the whole deployment; the group that demands most of its bound comes first.",
                                 true,
                                 describeNothing,
                                 runGroups};
    return command;
}

const command &billsCommand()
{
    static const command command{"bills",
                                 "",
                                 "show requests and cost per organisation",
                                 "Each request id counts once. --json prints the single bills too.",
                                 true,
                                 describeNothing,
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
                                 describeTimeline,
                                 runTimeline};
    return command;
}

const command &drainCommand()
{
    static const command command{"drain",
                                 "VM",
                                 "stop the process of an entry VM gracefully",
                                 "It leaves the entry advice, finishes requests in progress and ends.",
                                 true,
                                 describeDrain,
                                 runDrain};
    return command;
}

} // namespace crocuslane
