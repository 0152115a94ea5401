#pragma once

#include "plugins/duties/lease_manager.h"
#include "plugins/duties/runner_orders.h"
#include "services/duty_leases.h"

namespace crocuslane {

/// Leases of duties. Also performs the duty "orders": its holder orders the runners to serve their desired versions.
class duties_plugin : public plugin, public duty_leases
{
public:
    explicit duties_plugin(lease_controls controls = {});

    std::string_view name() const override;
    std::vector<std::string_view> dependencies() const override;
    void initialize(plugin_context &context) override;
    void start(action_list &actions) override;
    void handle(const event &event, action_list &actions) override;
    steady_time nextDeadline() const override;
    bool isIdle() const override;
    void describe(nlohmann::json &status) const override;

    void requestLease(const std::string &duty) override;
    std::optional<log_offset> fencing(const std::string &duty) const override;

private:
    lease_controls m_controls;
    plugin_context *m_context = nullptr;
    std::unique_ptr<lease_manager> m_leases;
    runner_orders m_runnerOrders;
};

} // namespace crocuslane
