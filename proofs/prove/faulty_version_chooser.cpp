#include "faulty_version_chooser.h"

#include "services/configuration_source.h"

namespace crocuslane {

faulty_version_chooser::faulty_version_chooser(bool checksPermissions, bool keepsSessions)
    : m_checksPermissions(checksPermissions)
    , m_keepsSessions(keepsSessions)
{
}

std::string_view faulty_version_chooser::name() const
{
    return "careless_chooser";
}

std::vector<std::string_view> faulty_version_chooser::dependencies() const
{
    return {"versions"};
}

void faulty_version_chooser::initialize(plugin_context &context)
{
    m_context = &context;
    m_delegate = &context.services.find<version_chooser>();
    context.services.offer<version_chooser>(*this);
}

void faulty_version_chooser::handle(const event & /*event*/, action_list & /*actions*/)
{
}

std::variant<version_candidates, request_error> faulty_version_chooser::choose(const model_request &request,
                                                                               const caller &caller)
{
    model_request modifiedRequest = request;
    if (!m_keepsSessions) {
        modifiedRequest.sessionToken.clear();
    }
    if (m_checksPermissions) {
        return m_delegate->choose(modifiedRequest, caller);
    }
    version_candidates all;
    for (const auto &[id, version] : m_context->services.find<configuration_source>().current()->versions) {
        all.versions.insert(all.versions.begin(), id);
    }
    return all;
}

bool faulty_version_chooser::mayServe(const version_id &version,
                                      const organisation_id &organisation,
                                      bool isBoundBySession) const
{
    return !m_checksPermissions || m_delegate->mayServe(version, organisation, isBoundBySession);
}

std::string
faulty_version_chooser::sessionToken(const model_request &request, const caller &caller, const version_id &version)
{
    return m_delegate->sessionToken(request, caller, version);
}

void faulty_version_chooser::observe(const answer_observation &observation)
{
    m_delegate->observe(observation);
}

std::uint64_t faulty_version_chooser::cost(const version_id &version, const token_usage &usage) const
{
    return m_delegate->cost(version, usage);
}

} // namespace crocuslane
