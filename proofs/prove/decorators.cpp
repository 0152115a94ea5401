#include "decorators.h"

#include "services/configuration_source.h"

namespace crocuslane {

careless_chooser::careless_chooser(bool checksRights, bool keepsSessions)
    : m_checksRights(checksRights)
    , m_keepsSessions(keepsSessions)
{
}

std::string_view careless_chooser::name() const
{
    return "careless_chooser";
}

std::vector<std::string_view> careless_chooser::dependencies() const
{
    return {"versions"};
}

void careless_chooser::initialize(plugin_context &context)
{
    m_context = &context;
    m_real = &context.services.find<version_chooser>();
    context.services.offer<version_chooser>(*this);
}

void careless_chooser::handle(const event & /*event*/, action_list & /*actions*/)
{
}

std::variant<version_candidates, request_error> careless_chooser::choose(const model_request &request,
                                                                         const caller &caller)
{
    model_request asked = request;
    if (!m_keepsSessions) {
        asked.sessionToken.clear();
    }
    if (m_checksRights) {
        return m_real->choose(asked, caller);
    }
    version_candidates all;
    for (const auto &[id, version] : m_context->services.find<configuration_source>().current()->versions) {
        all.versions.insert(all.versions.begin(), id);
    }
    return all;
}

bool careless_chooser::mayServe(const version_id &version,
                                const organisation_id &organisation,
                                bool isBoundBySession) const
{
    return !m_checksRights || m_real->mayServe(version, organisation, isBoundBySession);
}

std::string
careless_chooser::sessionToken(const model_request &request, const caller &caller, const version_id &version)
{
    return m_real->sessionToken(request, caller, version);
}

void careless_chooser::observe(const answer_observation &observation)
{
    m_real->observe(observation);
}

std::uint64_t careless_chooser::cost(const version_id &version, const token_usage &usage) const
{
    return m_real->cost(version, usage);
}

} // namespace crocuslane
