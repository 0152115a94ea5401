#include "harness/fixed_services.h"

namespace crocuslane {

fixed_services::fixed_services(const workload_parameters &workload,
                               std::vector<version_id> versions,
                               const std::vector<caller_group_settings> &groups)
    : m_versions(std::move(versions))
{
    auto built = std::make_shared<configuration>();
    const caller_group_id group("all/callers");
    built->groupsByKeyHash["key"] = group;
    built->callerGroups[group] = {group, organisation_id("all"), 1e9, 1'000'000'000, {"key"}, false};
    for (const caller_group_settings &limited : groups) {
        built->callerGroups[limited.id] = limited;
        for (const std::string &key : limited.keyHashes) {
            built->groupsByKeyHash[key] = limited.id;
        }
    }
    for (const kind_parameters &kind : workload.kinds) {
        kind_settings settings;
        settings.id = kind_id(kind.id);
        settings.urgency = kind.urgency;
        settings.expectedTokens = static_cast<std::uint32_t>(kind.medianAnswerTokens);
        built->kinds[settings.id] = settings;
    }
    m_configuration = std::move(built);
}

std::string_view fixed_services::name() const
{
    return "fixed-services";
}

void fixed_services::initialize(plugin_context &context)
{
    context.services.offer<configuration_source>(*this);
    context.services.offer<version_chooser>(*this);
}

void fixed_services::handle(const event & /*event*/, action_list & /*actions*/)
{
}

std::shared_ptr<const configuration> fixed_services::current() const
{
    return m_configuration;
}

std::uint64_t fixed_services::version() const
{
    return 1;
}

bool fixed_services::mayTakeRequests() const
{
    return true;
}

std::variant<version_candidates, request_error> fixed_services::choose(const model_request & /*request*/,
                                                                       const caller & /*caller*/)
{
    return version_candidates{m_versions, false};
}

bool fixed_services::mayServe(const version_id & /*version*/,
                              const organisation_id & /*organisation*/,
                              bool /*isBoundBySession*/) const
{
    return true;
}

std::string fixed_services::sessionToken(const model_request & /*request*/,
                                         const caller & /*caller*/,
                                         const version_id & /*version*/)
{
    return {};
}

void fixed_services::observe(const answer_observation & /*observation*/)
{
}

std::uint64_t fixed_services::cost(const version_id & /*version*/, const token_usage &usage) const
{
    return usage.promptTokens + usage.outputTokens;
}

} // namespace crocuslane
