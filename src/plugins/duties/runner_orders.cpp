#include "plugins/duties/runner_orders.h"

#include <algorithm>

namespace crocuslane {

namespace {

// Minimum time between orders to one runner, because its reports lag behind an order.
constexpr std::chrono::seconds orderInterval{1};

std::set<version_id> desiredVersions(const configuration &configuration, const service_id &service)
{
    std::set<version_id> desired;
    const auto settings = configuration.services.find(service);
    if (settings == configuration.services.end()) {
        return desired;
    }
    const std::vector<model_id> &models = settings->second.models;
    for (const auto &[id, version] : configuration.versions) {
        const bool isServed = std::find(models.begin(), models.end(), version.model) != models.end();
        if (isServed && version.state != version_state::withdrawn) {
            desired.insert(id);
        }
    }
    return desired;
}

} // namespace

void runner_orders::setRunners(const std::vector<vm_entry> &entries)
{
    std::map<runner_id, model_runner> runners;
    for (const vm_entry &entry : entries) {
        if (entry.role != vm_role::model || entry.state != backend_state::live) {
            continue;
        }
        const runner_id id(entry.id);
        const auto previous = m_runners.find(id);
        const steady_time lastOrderTime =
            previous == m_runners.end() ? steady_time::min() : previous->second.lastOrderTime;
        runners[id] = {entry.service, entry.address, lastOrderTime};
    }
    m_runners = std::move(runners);
}

void runner_orders::reconcile(const runner_load &load,
                              const configuration &configuration,
                              log_offset fencing,
                              steady_time now,
                              action_list &actions)
{
    const auto found = m_runners.find(load.runner);
    if (found == m_runners.end() || load.state != backend_state::live) {
        return;
    }
    model_runner &runner = found->second;
    std::set<version_id> desired = desiredVersions(configuration, runner.service);
    // A runner of a service that the configuration doesn't contain gets no orders.
    if (desired.empty() || desired == std::set<version_id>(load.versions.begin(), load.versions.end())) {
        return;
    }
    if (runner.lastOrderTime != steady_time::min() && now < runner.lastOrderTime + orderInterval) {
        return;
    }
    runner.lastOrderTime = now;
    actions.push_back(order_runner{load.runner, runner.address, fencing, std::move(desired)});
}

} // namespace crocuslane
