#include "plugins/versions/versions_plugin.h"

#include "plugins/versions/session_token.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocuslane {

namespace {

const plugin_registrar registrar("versions",
                                 []() -> std::unique_ptr<plugin> { return std::make_unique<versions_plugin>(); });

request_error refusal(error_code code, std::string message)
{
    return {code, execution_state::not_run, std::move(message), 0.0};
}

} // namespace

versions_plugin::versions_plugin() = default;

versions_plugin::~versions_plugin() = default;

std::string_view versions_plugin::name() const
{
    return "versions";
}

std::vector<std::string_view> versions_plugin::dependencies() const
{
    return {"publication"};
}

void versions_plugin::initialize(plugin_context &context)
{
    m_context = &context;
    m_configuration = &context.services.find<configuration_source>();
    m_tokens = std::make_unique<session_token>(context.secrets.sessionKey);
    context.services.offer<version_chooser>(*this);
}

void versions_plugin::handle(const event & /*event*/, action_list & /*actions*/)
{
}

void versions_plugin::describe(nlohmann::json &status) const
{
    const std::shared_ptr<const configuration> current = m_configuration->current();
    if (!current) {
        return;
    }
    constexpr std::string_view stateNames[] = {"active", "canary", "draining", "withdrawn"};
    for (const auto &[id, version] : current->versions) {
        status["versions"].push_back(
            {{"version", id.value()}, {"state", stateNames[static_cast<std::size_t>(version.state)]}});
    }
}

std::variant<version_candidates, request_error> versions_plugin::choose(const model_request &request,
                                                                        const caller &caller)
{
    const std::shared_ptr<const configuration> current = m_configuration->current();
    const auto service = current->services.find(request.service);
    if (service == current->services.end() || service->second.type != service_type::model) {
        return refusal(error_code::unknown_model, "unknown model \"" + request.service.value() + "\"");
    }
    if (!request.sessionToken.empty()) {
        return chooseForSession(request, caller);
    }
    if (request.wantedVersion) {
        if (!current->versions.contains(*request.wantedVersion)) {
            return refusal(error_code::unknown_model, "unknown version \"" + request.wantedVersion->value() + "\"");
        }
        if (!mayServe(*request.wantedVersion, caller.organisation, false)) {
            return refusal(error_code::forbidden,
                           "version \"" + request.wantedVersion->value() + "\" is not open to this organisation");
        }
        return version_candidates{{*request.wantedVersion}, false};
    }
    std::vector<version_id> versions = permittedVersions(service->second, caller);
    if (versions.empty()) {
        return refusal(error_code::forbidden,
                       "no version of \"" + request.service.value() + "\" is open to this organisation");
    }
    const token_usage typical{1000, 0, 1000};
    std::stable_sort(versions.begin(), versions.end(), [&](const version_id &left, const version_id &right) {
        return cost(left, typical) < cost(right, typical);
    });
    return version_candidates{std::move(versions), false};
}

std::variant<version_candidates, request_error> versions_plugin::chooseForSession(const model_request &request,
                                                                                  const caller &caller) const
{
    const std::optional<version_id> version =
        m_tokens->verify(request.sessionToken, caller.organisation, request.service);
    if (!version) {
        return refusal(error_code::session_invalid, "the session token is not valid for this organisation and model");
    }
    if (!mayServe(*version, caller.organisation, true)) {
        return refusal(error_code::session_version_withdrawn,
                       "version \"" + version->value() + "\" of this session was withdrawn; start a new session");
    }
    return version_candidates{{*version}, true};
}

std::vector<version_id> versions_plugin::permittedVersions(const service_settings &service, const caller &caller) const
{
    const std::shared_ptr<const configuration> current = m_configuration->current();
    std::vector<version_id> permitted;
    for (const auto &[id, version] : current->versions) {
        const bool belongs =
            std::find(service.models.begin(), service.models.end(), version.model) != service.models.end();
        if (belongs && mayServe(id, caller.organisation, false)) {
            permitted.push_back(id);
        }
    }
    return permitted;
}

bool versions_plugin::mayServe(const version_id &version,
                               const organisation_id &organisation,
                               bool isBoundBySession) const
{
    const std::shared_ptr<const configuration> current = m_configuration->current();
    const auto settings = current->versions.find(version);
    const auto owner = current->organisations.find(organisation);
    if (settings == current->versions.end() || owner == current->organisations.end()) {
        return false;
    }
    if (!owner->second.allowedVersions.contains(version)) {
        return false;
    }
    switch (settings->second.state) {
    case version_state::active:
    case version_state::canary:
        return true;
    case version_state::draining:
        return isBoundBySession;
    case version_state::withdrawn:
        return false;
    }
    return false;
}

std::string versions_plugin::sessionToken(const model_request &request, const caller &caller, const version_id &version)
{
    return m_tokens->sign(caller.organisation, request.service, version);
}

void versions_plugin::observe(const answer_observation & /*observation*/)
{
}

std::uint64_t versions_plugin::cost(const version_id &version, const token_usage &usage) const
{
    const std::shared_ptr<const configuration> current = m_configuration->current();
    const auto settings = current->versions.find(version);
    if (settings == current->versions.end()) {
        return 0;
    }
    const auto model = current->models.find(settings->second.model);
    if (model == current->models.end()) {
        return 0;
    }
    constexpr std::uint64_t tokensPerPriceUnit = 1000;
    return (usage.promptTokens * model->second.inputCost + usage.outputTokens * model->second.outputCost)
        / tokensPerPriceUnit;
}

} // namespace crocuslane
