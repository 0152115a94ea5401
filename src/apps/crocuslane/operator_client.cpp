#include "operator_client.h"

#include <boost/leaf/error.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocuslane {

namespace {

using nlohmann::json;
namespace leaf = boost::leaf;

constexpr std::uint32_t okStatus = 200;
constexpr std::uint32_t unconfirmedStatus = 202;
constexpr std::size_t maximumShownCharacters = 200;

client_error transportError(const std::string &address, const transport_reply &reply)
{
    const bool isUnsent = reply.result == transport_result::not_connected;
    return {isUnsent ? client_failure::unreachable : client_failure::lost, address, 0, {}, reply.detail, {}};
}

client_error refusal(const std::string &address, const transport_reply &reply)
{
    client_error error{client_failure::refused, address, reply.status, {}, {}, {}};
    const json body = json::parse(reply.body, nullptr, false);
    if (body.is_object() && body.contains("error") && body["error"].is_object()) {
        const json &content = body["error"];
        const auto text = [&content](const char *name) {
            return content.contains(name) && content[name].is_string() ? content[name].get<std::string>()
                                                                       : std::string();
        };
        error.code = text("code");
        error.message = text("message");
        error.execution = text("execution");
    } else {
        error.message = reply.body.substr(0, maximumShownCharacters);
    }
    return error;
}

/// Parses an answer with @p read. A parse error becomes a client_error of kind malformed.
template<typename content>
vm_answer<content> readAnswer(const std::string &address, const transport_reply &reply, content (*read)(const json &))
{
    if (reply.result != transport_result::answered) {
        return {address, std::nullopt, transportError(address, reply)};
    }
    if (reply.status != okStatus && reply.status != unconfirmedStatus) {
        return {address, std::nullopt, refusal(address, reply)};
    }
    try {
        return {address, read(json::parse(reply.body)), {}};
    } catch (const json::exception &error) {
        return {address, std::nullopt, {client_failure::malformed, address, reply.status, {}, error.what(), {}}};
    }
}

template<typename content>
leaf::result<content> asResult(vm_answer<content> answer)
{
    if (!answer.value) {
        return leaf::new_error(std::move(answer.error));
    }
    return std::move(*answer.value);
}

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

published_configuration readConfigurationAnswer(const json &body)
{
    return {body.at("version"), body.at("hash"), body.at("text")};
}

publication_answer readPublicationAnswer(const json &body)
{
    return {body.at("accepted"), body.at("version")};
}

vm_status readMember(const json &body)
{
    vm_status member;
    member.id = body.at("id");
    member.availabilityZone = body.at("availability_zone");
    member.region = body.at("region");
    member.address = body.at("address");
    if (body.at("last_heard_age_s").is_number()) {
        member.lastContactAgeSeconds = body.at("last_heard_age_s");
    }
    member.configurationVersion = body.at("configuration_version");
    member.isStopping = body.at("stopping");
    member.isSelf = body.at("self");
    return member;
}

node_status readStatusAnswer(const json &body)
{
    node_status status;
    status.id = body.at("node").at("id");
    status.availabilityZone = body.at("node").at("availability_zone");
    status.region = body.at("node").at("region");
    status.configurationVersion = body.at("configuration").at("version");
    status.isFresh = body.at("configuration").at("fresh");
    for (const json &member : body.at("members")) {
        status.members.push_back(readMember(member));
    }
    std::sort(status.members.begin(), status.members.end(), [](const vm_status &left, const vm_status &right) {
        return left.id < right.id;
    });
    status.plugins = dump(body.value("plugins", json::object()));
    return status;
}

std::vector<group_load> readGroupsAnswer(const json &body)
{
    std::vector<group_load> groups;
    for (const json &entry : body.at("groups")) {
        groups.push_back({entry.at("group"),
                          entry.at("organisation"),
                          entry.value("service", ""),
                          entry.at("demand_per_s"),
                          entry.at("limit_per_s"),
                          entry.at("admitted"),
                          entry.at("refused"),
                          entry.at("queued"),
                          entry.at("tokens_in_flight")});
    }
    return groups;
}

std::vector<timeline_event> readTimelineAnswer(const json &body)
{
    std::vector<timeline_event> events;
    for (const json &entry : body.at("events")) {
        events.push_back({entry.at("time_ms"),
                          entry.at("logical"),
                          entry.at("vm"),
                          entry.at("kind"),
                          entry.value("request", ""),
                          entry.value("detail", "")});
    }
    return events;
}

bill_list readBillsAnswer(const json &body)
{
    bill_list list;
    list.bills = dump(body.at("bills"));
    for (const json &entry : body.at("totals")) {
        // Each request has one bill, so the number of bills is the number of requests.
        const json &requests = entry.contains("requests") ? entry.at("requests") : entry.at("bills");
        list.totals.push_back({entry.at("organisation"), requests, entry.at("cost")});
    }
    return list;
}

template<typename content>
std::vector<vm_answer<content>> readAll(operator_transport &transport,
                                        const std::vector<std::string> &addresses,
                                        const std::string &target,
                                        content (*read)(const json &))
{
    std::vector<transport_request> requests;
    requests.reserve(addresses.size());
    for (const std::string &address : addresses) {
        requests.push_back({"GET", address, target, {}});
    }
    const std::vector<transport_reply> replies = transport.exchange(requests);
    std::vector<vm_answer<content>> answers;
    answers.reserve(replies.size());
    for (std::size_t index = 0; index < replies.size(); ++index) {
        answers.push_back(readAnswer(addresses[index], replies[index], read));
    }
    return answers;
}

/// Asks one entry after the other until one gives a usable answer. If none does, the error is the first refusal, which
/// is more informative for operators than a failed connection, or the last error if no VM refused.
template<typename content>
leaf::result<content> readFirst(operator_transport &transport,
                                const std::vector<std::string> &entries,
                                const std::string &target,
                                content (*read)(const json &))
{
    client_error failure{client_failure::unreachable, {}, 0, {}, "no entry VM is known", {}};
    for (const std::string &entry : entries) {
        vm_answer<content> answer = readAll(transport, {entry}, target, read).front();
        if (answer.value) {
            return std::move(*answer.value);
        }
        if (failure.failure != client_failure::refused) {
            failure = std::move(answer.error);
        }
    }
    return leaf::new_error(std::move(failure));
}

std::string percentEncoded(std::string_view text)
{
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool isPlain = (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z')
            || (byte >= 'A' && byte <= 'Z') || byte == '-' || byte == '.' || byte == '_' || byte == '~';
        encoded += isPlain ? std::string(1, character) : fmt::format("%{:02X}", byte);
    }
    return encoded;
}

} // namespace

operator_client::operator_client(operator_transport &transport, std::vector<std::string> entries)
    : m_transport(transport)
    , m_entries(std::move(entries))
{
}

const std::vector<std::string> &operator_client::entries() const
{
    return m_entries;
}

leaf::result<published_configuration> operator_client::configuration()
{
    return readFirst(m_transport, m_entries, "/admin/configuration", readConfigurationAnswer);
}

leaf::result<node_status> operator_client::status()
{
    return readFirst(m_transport, m_entries, "/admin/status", readStatusAnswer);
}

leaf::result<bill_list> operator_client::bills()
{
    return readFirst(m_transport, m_entries, "/admin/bills", readBillsAnswer);
}

leaf::result<publication_answer> operator_client::publish(std::uint64_t replacesVersion, const std::string &text)
{
    const std::string target = fmt::format("/admin/publish?replaces={}", replacesVersion);
    vm_answer<publication_answer> answer{
        {}, std::nullopt, {client_failure::unreachable, {}, 0, {}, "no entry VM is known", {}}};
    for (const std::string &entry : m_entries) {
        const transport_reply reply = m_transport.exchange({{"POST", entry, target, text}}).front();
        answer = readAnswer(entry, reply, readPublicationAnswer);
        if (answer.value || answer.error.failure != client_failure::unreachable) {
            break;
        }
    }
    return asResult(std::move(answer));
}

leaf::result<void> operator_client::drain(const std::string &address)
{
    const transport_reply reply = m_transport.exchange({{"POST", address, "/admin/drain", {}}}).front();
    if (reply.result != transport_result::answered) {
        return leaf::new_error(transportError(address, reply));
    }
    if (reply.status != okStatus) {
        return leaf::new_error(refusal(address, reply));
    }
    return {};
}

std::vector<vm_answer<node_status>> operator_client::statusOf(const std::vector<std::string> &addresses)
{
    return readAll(m_transport, addresses, "/admin/status", readStatusAnswer);
}

std::vector<vm_answer<bool>> operator_client::readinessOf(const std::vector<std::string> &addresses)
{
    std::vector<transport_request> requests;
    requests.reserve(addresses.size());
    for (const std::string &address : addresses) {
        requests.push_back({"GET", address, "/readyz", {}});
    }
    const std::vector<transport_reply> replies = m_transport.exchange(requests);
    std::vector<vm_answer<bool>> answers;
    answers.reserve(replies.size());
    for (std::size_t index = 0; index < replies.size(); ++index) {
        const transport_reply &reply = replies[index];
        if (reply.result == transport_result::answered) {
            answers.push_back({addresses[index], reply.status == okStatus, {}});
        } else {
            answers.push_back({addresses[index], std::nullopt, transportError(addresses[index], reply)});
        }
    }
    return answers;
}

std::vector<vm_answer<published_configuration>>
operator_client::configurationOf(const std::vector<std::string> &addresses)
{
    return readAll(m_transport, addresses, "/admin/configuration", readConfigurationAnswer);
}

std::vector<vm_answer<std::vector<group_load>>> operator_client::groupsOf(const std::vector<std::string> &addresses)
{
    return readAll(m_transport, addresses, "/admin/groups", readGroupsAnswer);
}

std::vector<vm_answer<std::vector<timeline_event>>> operator_client::timelineOf(
    const std::vector<std::string> &addresses, const std::string &request, std::int64_t sinceMilliseconds)
{
    std::string target = fmt::format("/admin/timeline?since_ms={}", sinceMilliseconds);
    if (!request.empty()) {
        target += "&request=" + percentEncoded(request);
    }
    return readAll(m_transport, addresses, target, readTimelineAnswer);
}

std::string toText(const client_error &error)
{
    switch (error.failure) {
    case client_failure::unreachable:
        return fmt::format("{}: can't be reached, nothing was sent ({})",
                           error.address.empty() ? "entry VMs" : error.address,
                           error.message);
    case client_failure::lost:
        return fmt::format("{}: the answer was lost ({})", error.address, error.message);
    case client_failure::refused:
        return fmt::format("{}: refused with {} {}: {}{}",
                           error.address,
                           error.status,
                           error.code,
                           error.message,
                           error.execution.empty() ? "" : fmt::format(" (execution: {})", error.execution));
    case client_failure::malformed:
        return fmt::format("{}: unexpected answer: {}", error.address, error.message);
    }
    return {};
}

} // namespace crocuslane
