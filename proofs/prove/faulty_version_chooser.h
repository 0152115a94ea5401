#pragma once

#include "kernel/plugin.h"
#include "services/version_chooser.h"

namespace crocuslane {

/// Wraps the version chooser of the plug-in versions and disables its permission check or its session binding, for
/// control runs.
class faulty_version_chooser : public plugin, public version_chooser
{
public:
    faulty_version_chooser(bool checksPermissions, bool keepsSessions);

    std::string_view name() const override;
    std::vector<std::string_view> dependencies() const override;
    void initialize(plugin_context &context) override;
    void handle(const event &event, action_list &actions) override;

    std::variant<version_candidates, request_error> choose(const model_request &request, const caller &caller) override;
    bool mayServe(const version_id &version, const organisation_id &organisation, bool isBoundBySession) const override;
    std::string sessionToken(const model_request &request, const caller &caller, const version_id &version) override;
    void observe(const answer_observation &observation) override;
    std::uint64_t cost(const version_id &version, const token_usage &usage) const override;

private:
    bool m_checksPermissions;
    bool m_keepsSessions;
    plugin_context *m_context = nullptr;
    version_chooser *m_delegate = nullptr;
};

} // namespace crocuslane
