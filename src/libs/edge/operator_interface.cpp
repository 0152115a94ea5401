#include "edge/operator_interface.h"

#include "base/digest.h"
#include "edge/caller_interface.h"
#include "edge/event_sink.h"
#include "edge/request_reader.h"
#include "kernel/kernel.h"
#include "services/configuration_source.h"
#include "services/member_view.h"
#include "services/version_chooser.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace crocuslane {

using nlohmann::json;

namespace {

constexpr std::string_view jsonType = "application/json";

std::optional<std::uint64_t> queryNumber(const http_request &request, const std::string &name)
{
    const auto found = request.query.find(name);
    if (found == request.query.end()) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const std::string &text = found->second;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

void respondError(const std::shared_ptr<http_exchange> &exchange, error_code code, std::string message)
{
    exchange->respond(httpStatus(code),
                      {{"content-type", std::string(jsonType)}},
                      errorBody({code, execution_state::not_run, std::move(message), 0.0}, ""));
}

void respondJson(const std::shared_ptr<http_exchange> &exchange, std::string body)
{
    exchange->respond(200, {{"content-type", std::string(jsonType)}}, std::move(body));
}

} // namespace

operator_interface::operator_interface(environment environment)
    : m_environment(std::move(environment))
{
}

void operator_interface::setCallers(caller_interface &callers)
{
    m_callers = &callers;
}

void operator_interface::handleRequest(const std::shared_ptr<http_exchange> &exchange)
{
    const http_request &request = exchange->request();
    if (request.path.starts_with("/admin/")) {
        handleAdmin(exchange);
        return;
    }
    if (request.method != "GET") {
        respondError(
            exchange, error_code::bad_request, "no such method and path: " + request.method + " " + request.path);
        return;
    }
    const auto *source = m_environment.decisions.services().tryFind<configuration_source>();
    if (request.path == "/healthz") {
        exchange->respond(200, {{"content-type", "text/plain"}}, "ok\n");
    } else if (request.path == "/readyz") {
        const bool isReady = source && source->current() && source->mayTakeRequests();
        exchange->respond(isReady ? 200 : 503, {{"content-type", "text/plain"}}, isReady ? "ready\n" : "not ready\n");
    } else if (request.path == "/metrics") {
        exchange->respond(200, {{"content-type", "text/plain; version=0.0.4"}}, m_environment.metrics());
    } else if (request.path == "/v1/entries") {
        respondJson(exchange, entriesBody());
    } else if (request.path == "/v1/models") {
        respondJson(exchange, modelsBody(callerKeyHash(request)));
    } else {
        exchange->respond(
            404,
            {{"content-type", std::string(jsonType)}},
            errorBody({error_code::bad_request, execution_state::not_run, "no such path: " + request.path, 0.0}, ""));
    }
}

void operator_interface::handleAbandoned(const http_exchange & /*exchange*/)
{
}

bool operator_interface::isOperator(const std::string &keyHash) const
{
    if (keyHash.empty()) {
        return false;
    }
    if (!m_environment.bootstrapKeyHash.empty() && equalConstantTime(keyHash, m_environment.bootstrapKeyHash)) {
        return true;
    }
    const auto *source = m_environment.decisions.services().tryFind<configuration_source>();
    const std::shared_ptr<const configuration> current = source ? source->current() : nullptr;
    if (!current) {
        return false;
    }
    // The time of this look-up may depend on the hash, but a SHA-256 hash reveals nothing about the key itself.
    const auto group = current->groupsByKeyHash.find(keyHash);
    return group != current->groupsByKeyHash.end() && current->callerGroups.at(group->second).isOperator;
}

void operator_interface::handleAdmin(const std::shared_ptr<http_exchange> &exchange)
{
    const http_request &request = exchange->request();
    const std::string keyHash = callerKeyHash(request);
    if (!isOperator(keyHash)) {
        respondError(exchange, error_code::unauthenticated, "this path needs an operator's key");
        return;
    }
    const std::string methodAndPath = request.method + " " + request.path;
    if (methodAndPath == "POST /admin/publish") {
        publish(exchange, keyHash);
    } else if (methodAndPath == "POST /admin/drain") {
        respondJson(exchange, json({{"stopping", true}}).dump());
        m_environment.sink.deliver(stop_requested{});
    } else if (methodAndPath == "GET /admin/configuration") {
        respondJson(exchange, configurationBody());
    } else if (methodAndPath == "GET /admin/status") {
        respondJson(exchange, statusBody());
    } else if (methodAndPath == "GET /admin/groups") {
        respondJson(exchange, groupsBody());
    } else if (methodAndPath == "GET /admin/bills") {
        respondJson(exchange, billsBody());
    } else if (methodAndPath == "GET /admin/timeline") {
        const auto requestId = request.query.find("request");
        respondJson(exchange,
                    m_environment.timeline(requestId == request.query.end() ? "" : requestId->second,
                                           static_cast<std::int64_t>(queryNumber(request, "since_ms").value_or(0))));
    } else {
        respondError(exchange, error_code::bad_request, "no such method and path: " + methodAndPath);
    }
}

void operator_interface::publish(const std::shared_ptr<http_exchange> &exchange, const std::string &keyHash)
{
    const std::optional<std::uint64_t> replaces = queryNumber(exchange->request(), "replaces");
    if (!replaces) {
        respondError(exchange, error_code::bad_request, "replaces: expected the number of the version to replace");
        return;
    }
    const request_id id(fmt::format(
        "publish-{}-{:x}-{}", m_environment.node.id.value(), m_environment.node.incarnation, ++m_lastPublication));
    m_callers->expectAnswer(id, exchange);
    m_environment.sink.deliver(publication_requested{id, keyHash, exchange->request().body, *replaces});
}

std::string operator_interface::modelsBody(const std::string &keyHash) const
{
    json models = json::array();
    const auto *source = m_environment.decisions.services().tryFind<configuration_source>();
    const std::shared_ptr<const configuration> current = source ? source->current() : nullptr;
    const auto *chooser = m_environment.decisions.services().tryFind<version_chooser>();
    if (current && chooser) {
        const auto group = current->groupsByKeyHash.find(keyHash);
        for (const auto &[id, service] : current->services) {
            if (service.type != service_type::model || group == current->groupsByKeyHash.end()) {
                continue;
            }
            const organisation_id &organisation = current->callerGroups.at(group->second).organisation;
            models.push_back({{"id", id.value()}, {"object", "model"}, {"owned_by", "crocuslane"}});
            for (const auto &[versionId, version] : current->versions) {
                if (chooser->mayServe(versionId, organisation, false)) {
                    models.push_back({{"id", id.value() + "/" + versionId.value()},
                                      {"object", "model"},
                                      {"owned_by", "crocuslane"}});
                }
            }
        }
    }
    return json({{"object", "list"}, {"data", std::move(models)}}).dump();
}

std::string operator_interface::entriesBody() const
{
    json entries = json::array();
    const auto *members = m_environment.decisions.services().tryFind<member_view>();
    if (!members) {
        entries.push_back({{"id", m_environment.node.id.value()},
                           {"address", m_environment.node.callerAddress},
                           {"availability_zone", m_environment.node.availabilityZone},
                           {"region", m_environment.node.region}});
        return json({{"entries", entries}, {"keep_s", 1}}).dump();
    }
    const entry_advice advice = members->advice();
    for (const entry_advice::entry &entry : advice.entries) {
        entries.push_back({{"id", entry.id.value()},
                           {"address", entry.address},
                           {"availability_zone", entry.availabilityZone},
                           {"region", entry.region}});
    }
    return json({{"entries", entries}, {"keep_s", advice.keepSeconds}}).dump();
}

std::string operator_interface::configurationBody() const
{
    const auto *source = m_environment.decisions.services().tryFind<configuration_source>();
    const std::shared_ptr<const configuration> current = source ? source->current() : nullptr;
    const std::string text = current ? current->text : "";
    return json({{"version", source ? source->version() : 0}, {"hash", sha256Hex(text)}, {"text", text}}).dump();
}

std::string operator_interface::statusBody() const
{
    service_registry &services = m_environment.decisions.services();
    const auto *source = services.tryFind<configuration_source>();
    json members = json::array();
    if (const auto *view = services.tryFind<member_view>()) {
        for (const member_info &member : view->members()) {
            members.push_back(
                {{"id", member.id.value()},
                 {"availability_zone", member.availabilityZone},
                 {"region", member.region},
                 {"address", member.address},
                 {"last_heard_age_s", member.lastContactAge ? json(toSeconds(*member.lastContactAge)) : json(nullptr)},
                 {"configuration_version", member.configurationVersion},
                 {"stopping", member.isStopping},
                 {"self", member.isSelf}});
        }
    }
    return json({{"node",
                  {{"id", m_environment.node.id.value()},
                   {"availability_zone", m_environment.node.availabilityZone},
                   {"region", m_environment.node.region}}},
                 {"configuration",
                  {{"version", source ? source->version() : 0}, {"fresh", source && source->mayTakeRequests()}}},
                 {"members", std::move(members)},
                 {"plugins", m_environment.decisions.describe()}})
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string operator_interface::groupsBody() const
{
    const json plugins = m_environment.decisions.describe();
    const json admission = plugins.value("admission", json::object());
    return json({{"groups", admission.value("groups", json::array())}}).dump();
}

std::string operator_interface::billsBody() const
{
    const json plugins = m_environment.decisions.describe();
    const json billing = plugins.value("billing", json::object());
    return json({{"bills", billing.value("bills", json::array())}, {"totals", billing.value("totals", json::array())}})
        .dump();
}

} // namespace crocuslane
