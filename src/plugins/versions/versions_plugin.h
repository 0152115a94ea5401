#pragma once

#include "kernel/plugin.h"
#include "plugins/versions/quality_estimator.h"
#include "plugins/versions/version_monitor.h"
#include "services/configuration_source.h"
#include "services/version_chooser.h"

#include <map>
#include <memory>
#include <set>

namespace crocuslane {

class session_token;
class version_selector;

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
    /// Versions that are neither suspended nor outside their share of new traffic; all when nothing else is left.
    std::vector<version_id> offeredVersions(const std::vector<version_id> &permitted);
    quality_estimate qualityOf(const kind_id &kind, const version_settings &version) const;
    void readRating(const answer_rating &rating);
    void applyConfiguration();
    void suspendIfFaulty(const version_id &version);
    double qualityTarget(const kind_id &kind, const service_id &service) const;

    plugin_context *m_context = nullptr;
    const configuration_source *m_configuration = nullptr;
    std::unique_ptr<session_token> m_tokens;
    std::unique_ptr<version_selector> m_selector;
    quality_estimator m_quality;
    std::map<version_id, version_monitor> m_monitors;
    /// Versions out of service by the decision of this VM, until the operators' text changes their entry.
    std::set<version_id> m_suspended;
    std::map<version_id, version_settings> m_known;
};

} // namespace crocuslane
