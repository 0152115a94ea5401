#include "plugins/duties/duties_plugin.h"

#include "services/configuration_source.h"

#include <nlohmann/json.hpp>

namespace crocuslane {

namespace {

constexpr std::string_view ordersDuty = "orders";
// Performed by the plug-in publication.
constexpr std::string_view snapshotsDuty = "snapshots";

const plugin_registrar autoRegistrar("duties",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<duties_plugin>(); });

} // namespace

duties_plugin::duties_plugin(lease_controls controls)
    : m_controls(controls)
{
}

std::string_view duties_plugin::name() const
{
    return "duties";
}

std::vector<std::string_view> duties_plugin::dependencies() const
{
    return {"appends"};
}

void duties_plugin::initialize(plugin_context &context)
{
    m_context = &context;
    m_leases = std::make_unique<lease_manager>(context, m_controls);
    context.services.offer<duty_leases>(*this);
}

void duties_plugin::start(action_list &actions)
{
    m_leases->start(actions);
    m_leases->requestLease(std::string(ordersDuty));
    m_leases->requestLease(std::string(snapshotsDuty));
}

void duties_plugin::handle(const event &event, action_list &actions)
{
    m_leases->handle(event, actions);
    if (const auto *list = std::get_if<vm_list_read>(&event)) {
        m_runnerOrders.setRunners(list->entries);
        return;
    }
    const auto *report = std::get_if<runner_load_reported>(&event);
    const auto *source = report ? m_context->services.tryFind<configuration_source>() : nullptr;
    if (!source || !source->current() || !source->mayTakeRequests()) {
        return;
    }
    // Queried at each use instead of cached, because the process may have been paused since the last event.
    if (const auto fencing = m_leases->fencing(std::string(ordersDuty))) {
        const std::size_t countBefore = actions.size();
        m_runnerOrders.reconcile(report->load, *source->current(), *fencing, m_context->time.steadyNow(), actions);
        if (actions.size() > countBefore) {
            m_context->timeline.record(timeline_kind::order_sent, {}, "runner=" + report->load.runner.value());
        }
    }
}

steady_time duties_plugin::nextDeadline() const
{
    return m_leases->nextDeadline();
}

bool duties_plugin::isIdle() const
{
    return m_leases->isIdle();
}

void duties_plugin::describe(nlohmann::json &status) const
{
    for (const std::string &duty : m_leases->duties()) {
        const auto fencing = m_leases->fencing(duty);
        status["duties"][duty] = {{"holder", m_leases->holder(duty)}, {"held", fencing.has_value()}};
        if (fencing) {
            status["duties"][duty]["fencing"] = *fencing;
        }
    }
}

void duties_plugin::requestLease(const std::string &duty)
{
    m_leases->requestLease(duty);
}

std::optional<log_offset> duties_plugin::fencing(const std::string &duty) const
{
    return m_leases->fencing(duty);
}

} // namespace crocuslane
