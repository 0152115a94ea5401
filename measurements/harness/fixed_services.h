#pragma once

#include "harness/workload.h"
#include "kernel/plugin.h"
#include "services/configuration_source.h"
#include "services/version_chooser.h"

namespace crocuslane {

/// Provides a fixed configuration and a fixed order of versions in place of the plug-ins publication and versions.
class fixed_services : public plugin, public configuration_source, public version_chooser
{
public:
    /// One caller group without effective limits has the key hash "key". It and @p groups may use all versions.
    fixed_services(const workload_parameters &workload,
                   std::vector<version_id> versions,
                   const std::vector<caller_group_settings> &groups = {});

    std::string_view name() const override;
    void initialize(plugin_context &context) override;
    void handle(const event &event, action_list &actions) override;

    std::shared_ptr<const configuration> current() const override;
    std::uint64_t version() const override;
    bool mayTakeRequests() const override;

    std::variant<version_candidates, request_error> choose(const model_request &request, const caller &caller) override;
    bool mayServe(const version_id &version, const organisation_id &organisation, bool isBoundBySession) const override;
    std::string sessionToken(const model_request &request, const caller &caller, const version_id &version) override;
    void observe(const answer_observation &observation) override;
    std::uint64_t cost(const version_id &version, const token_usage &usage) const override;

private:
    std::shared_ptr<const configuration> m_configuration;
    std::vector<version_id> m_versions;
};

} // namespace crocuslane
