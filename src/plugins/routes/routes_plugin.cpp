#include "kernel/plugin.h"
#include "plugins/routes/route_table.h"
#include "services/configuration_source.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>

namespace crocuslane {

/// Applies the operators' configuration for forwarded requests; ignores a version that is not newer than the current
/// one.
class routes_plugin : public plugin, public route_source, public configuration_source
{
public:
    std::string_view name() const override
    {
        return "routes";
    }

    void initialize(plugin_context &context) override
    {
        context.services.offer<route_source>(*this);
        context.services.offer<configuration_source>(*this);
    }

    void handle(const event &event, action_list &actions) override
    {
        if (const auto *read = std::get_if<forward_configuration_read>(&event)) {
            apply(read->configuration, actions);
        }
    }

    std::variant<route_match, refusal_reason>
    match(const std::string &host, const std::string &path, const std::string &callerKey) const override
    {
        if (!m_table) {
            return refusal_reason::no_configuration;
        }
        return m_table->match(host, path, callerKey);
    }

    std::set<std::string> homeRegionsOf(const std::string &host) const override
    {
        return m_table ? m_table->homeRegionsOf(host) : std::set<std::string>();
    }

    std::shared_ptr<const forward_configuration> configuration() const override
    {
        return m_table ? m_table->configuration() : nullptr;
    }

    /// Null: the configuration for the product's own interface is not used together with forwarded requests.
    std::shared_ptr<const crocuslane::configuration> current() const override
    {
        return nullptr;
    }

    /// 0: every VM reads the configuration from the platform and fetches none from another VM.
    std::uint64_t version() const override
    {
        return 0;
    }

    bool mayTakeRequests() const override
    {
        return m_table.has_value();
    }

    void describe(nlohmann::json &status) const override
    {
        status["version"] = m_table ? m_table->configuration()->version : 0;
        status["routes"] = m_table ? m_table->configuration()->routes.size() : 0;
    }

private:
    void apply(const std::shared_ptr<const forward_configuration> &read, action_list &actions)
    {
        const std::uint64_t currentVersion = m_table ? m_table->configuration()->version : 0;
        const bool isNewer = !m_table || read->version > currentVersion;
        if (isNewer) {
            m_table.emplace(read);
            for (const std::string &field : read->invalidFields) {
                actions.push_back(log_decision{"configuration_field_ignored", {}, {{"field", field}}});
            }
        }
        actions.push_back(log_decision{isNewer ? "configuration_accepted" : "configuration_ignored",
                                       {},
                                       {{"version", std::to_string(read->version)},
                                        {"in_force", std::to_string(isNewer ? read->version : currentVersion)},
                                        {"routes", std::to_string(read->routes.size())}}});
    }

    std::optional<route_table> m_table;
};

namespace {

const plugin_registrar autoRegistrar("routes",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<routes_plugin>(); });

} // namespace

} // namespace crocuslane
