#pragma once

#include "kernel/plugin.h"
#include "services/configuration_source.h"
#include "services/version_chooser.h"

#include <memory>

namespace crocuslane {

class session_token;

/// Chooses model and version of a request and holds the one check of rights and withdrawal.
class versions_plugin : public plugin, public version_chooser
{
public:
    versions_plugin();
    ~versions_plugin() override;

    std::string_view name() const override;
    std::vector<std::string_view> dependencies() const override;
    void initialize(plugin_context &context) override;
    void handle(const event &event, action_list &actions) override;
    void describe(nlohmann::json &status) const override;

    std::variant<version_candidates, request_error> choose(const model_request &request, const caller &caller) override;
    bool mayServe(const version_id &version, const organisation_id &organisation, bool isBoundBySession) const override;
    std::string sessionToken(const model_request &request, const caller &caller, const version_id &version) override;
    void observe(const answer_observation &observation) override;
    std::uint64_t cost(const version_id &version, const token_usage &usage) const override;

private:
    std::variant<version_candidates, request_error> chooseForSession(const model_request &request,
                                                                     const caller &caller) const;
    std::vector<version_id> permittedVersions(const service_settings &service, const caller &caller) const;

    plugin_context *m_context = nullptr;
    const configuration_source *m_configuration = nullptr;
    std::unique_ptr<session_token> m_tokens;
};

} // namespace crocuslane
