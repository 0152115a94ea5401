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

class session_token_signer;
class version_selector;

/// Chooses the model and version for a request, and implements the only check whether a version may serve an
/// organisation.
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
    /// The permitted versions without those that are suspended or whose share of new traffic excludes the request. All
    /// permitted versions if none remains.
    std::vector<version_id> offeredVersions(const std::vector<version_id> &permitted);
    quality_estimate qualityOf(const kind_id &kind, const version_settings &version) const;
    void readRating(const answer_rating &rating);
    void applyConfiguration();
    void suspendIfFaulty(const version_id &version);
    double qualityTarget(const kind_id &kind, const service_id &service) const;

    plugin_context *m_context = nullptr;
    const configuration_source *m_configuration = nullptr;
    std::unique_ptr<session_token_signer> m_tokenSigner;
    std::unique_ptr<version_selector> m_selector;
    quality_estimator m_quality;
    std::map<version_id, version_monitor> m_monitors;
    /// Versions that this VM has suspended because of a fault, until a new configuration changes their entry.
    std::set<version_id> m_suspended;
    /// Version settings of the last applied configuration.
    std::map<version_id, version_settings> m_appliedVersions;
};

} // namespace crocuslane
