#include "plugins/versions/versions_plugin.h"

#include "base/name_table.h"
#include "plugins/versions/session_token_signer.h"
#include "plugins/versions/version_selector.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocuslane {

namespace {

const plugin_registrar registrar("versions",
                                 []() -> std::unique_ptr<plugin> { return std::make_unique<versions_plugin>(); });

constexpr auto stateNames = makeNameTable<version_state>({
    {version_state::active, "active"},
    {version_state::canary, "canary"},
    {version_state::draining, "draining"},
    {version_state::withdrawn, "withdrawn"},
});

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
    m_tokenSigner = std::make_unique<session_token_signer>(context.secrets.sessionKey);
    m_selector = std::make_unique<version_selector>(context.random);
    context.services.offer<version_chooser>(*this);
}

void versions_plugin::handle(const event &event, action_list & /*actions*/)
{
    if (const auto *read = std::get_if<ratings_read>(&event)) {
        for (const answer_rating &rating : read->ratings) {
            readRating(rating);
        }
    } else if (std::holds_alternative<configuration_changed>(event)) {
        applyConfiguration();
    }
}

void versions_plugin::readRating(const answer_rating &rating)
{
    const std::shared_ptr<const configuration> current = m_configuration->current();
    if (!current) {
        return;
    }
    const auto settings = current->versions.find(rating.version);
    if (settings == current->versions.end()) {
        return;
    }
    quality_estimate reference = m_quality.estimate(rating.kind, rating.version);
    if (settings->second.replaces) {
        // A new version is compared with the version that it is to replace if that has more ratings.
        const quality_estimate replaced = m_quality.estimate(rating.kind, *settings->second.replaces);
        if (replaced.count > reference.count) {
            reference = replaced;
        }
    }
    m_monitors[rating.version].addRating(rating.score, reference);
    m_quality.add(rating.kind, rating.version, rating.score);
    suspendIfFaulty(rating.version);
}

void versions_plugin::applyConfiguration()
{
    const std::shared_ptr<const configuration> current = m_configuration->current();
    for (const auto &[id, settings] : current->versions) {
        const auto applied = m_appliedVersions.find(id);
        const bool isChanged = applied == m_appliedVersions.end() || applied->second.state != settings.state
            || applied->second.canaryPercent != settings.canaryPercent;
        if (isChanged && m_suspended.erase(id) > 0) {
            // Operators changed the state or the canary share of the version, so its old ratings and tests are
            // discarded.
            m_monitors[id].reset();
            m_quality.remove(id);
        }
    }
    m_appliedVersions = current->versions;
}

void versions_plugin::suspendIfFaulty(const version_id &version)
{
    const std::optional<version_fault> fault = m_monitors[version].fault();
    if (!fault || !m_suspended.insert(version).second) {
        return;
    }
    m_context->timeline.record(
        timeline_kind::version_suspended, {}, "version=" + version.value() + " fault=" + std::string(toName(*fault)));
}

double versions_plugin::qualityTarget(const kind_id &kind, const service_id &service) const
{
    const std::shared_ptr<const configuration> current = m_configuration->current();
    const auto found = current->kinds.find(kind);
    if (found != current->kinds.end()) {
        return found->second.qualityTarget;
    }
    // A request without a known kind may be of any kind, so it gets the highest target of its service.
    double target = 0.0;
    for (const auto &[id, settings] : current->kinds) {
        if (settings.service == service) {
            target = std::max(target, settings.qualityTarget);
        }
    }
    return target;
}

std::vector<version_id> versions_plugin::offeredVersions(const std::vector<version_id> &permitted)
{
    const std::shared_ptr<const configuration> current = m_configuration->current();
    std::vector<version_id> offered;
    std::set<version_id> replaced;
    for (const version_id &version : permitted) {
        const version_settings &settings = current->versions.at(version);
        constexpr double percent = 100.0;
        const bool isInShare =
            settings.state != version_state::canary || m_context->random.unit() * percent < settings.canaryPercent;
        if (!isInShare || m_suspended.contains(version)) {
            continue;
        }
        offered.push_back(version);
        if (settings.state == version_state::canary && settings.replaces) {
            replaced.insert(*settings.replaces);
        }
    }
    // For requests within its share, a canary is offered instead of the version that it is to replace.
    std::erase_if(offered, [&replaced](const version_id &version) { return replaced.contains(version); });
    return offered.empty() ? permitted : offered;
}

quality_estimate versions_plugin::qualityOf(const kind_id &kind, const version_settings &version) const
{
    const quality_estimate own = m_quality.estimate(kind, version.id);
    // A canary with few ratings is assumed to have the quality of the version that it is to replace.
    constexpr double minimumOwnRatings = 50.0;
    if (!version.replaces || own.count >= minimumOwnRatings) {
        return own;
    }
    const quality_estimate replaced = m_quality.estimate(kind, *version.replaces);
    return replaced.count > own.count ? replaced : own;
}

void versions_plugin::describe(nlohmann::json &status) const
{
    const std::shared_ptr<const configuration> current = m_configuration->current();
    if (!current) {
        return;
    }
    for (const auto &[id, version] : current->versions) {
        const auto monitor = m_monitors.find(id);
        nlohmann::json entry = {{"version", id.value()},
                                {"state", stateNames.name(version.state)},
                                {"suspended", m_suspended.contains(id)}};
        if (monitor != m_monitors.end()) {
            entry["evidence"] = monitor->second.evidence();
            if (const std::optional<version_fault> fault = monitor->second.fault()) {
                entry["fault"] = toName(*fault);
            }
        }
        for (const auto &[kind, settings] : current->kinds) {
            const quality_estimate quality = m_quality.estimate(kind, id);
            if (quality.count > 0) {
                entry["quality"].push_back({{"kind", kind.value()},
                                            {"mean", quality.mean},
                                            {"lower", quality.lower},
                                            {"ratings", quality.count}});
            }
        }
        status["versions"].push_back(std::move(entry));
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
    const auto kind = current->kinds.find(request.kind);
    constexpr std::uint32_t typicalOutputTokens = 200;
    const token_usage expected{
        request.promptTokens, 0, kind == current->kinds.end() ? typicalOutputTokens : kind->second.expectedTokens};
    std::vector<version_option> options;
    for (const version_id &version : offeredVersions(versions)) {
        options.push_back({version,
                           static_cast<double>(cost(version, expected)),
                           qualityOf(request.kind, current->versions.at(version)),
                           m_monitors[version].weakRate()});
    }
    return version_candidates{m_selector->order(std::move(options), qualityTarget(request.kind, request.service)),
                              false};
}

std::variant<version_candidates, request_error> versions_plugin::chooseForSession(const model_request &request,
                                                                                  const caller &caller) const
{
    const std::optional<version_id> version =
        m_tokenSigner->verify(request.sessionToken, caller.organisation, request.service);
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
    return m_tokenSigner->sign(caller.organisation, request.service, version);
}

void versions_plugin::observe(const answer_observation &observation)
{
    m_monitors[observation.version].addAnswer(observation);
    suspendIfFaulty(observation.version);
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
