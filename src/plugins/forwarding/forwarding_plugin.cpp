#include "kernel/plugin.h"
#include "plugins/forwarding/forward_flow.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>

namespace crocuslane {

namespace {

template<typename... handlers>
struct overloaded : handlers... {
    using handlers::operator()...;
};

template<typename... handlers>
overloaded(handlers...) -> overloaded<handlers...>;

} // namespace

/// Forwards requests to backend servers unchanged.
class forwarding_plugin : public plugin
{
public:
    std::string_view name() const override
    {
        return "forwarding";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"routes", "backends"};
    }

    void initialize(plugin_context &context) override
    {
        m_context = &context;
        if (const auto *settings = context.services.tryFind<forwarding_settings>()) {
            m_settings = *settings;
        }
    }

    void start(action_list & /*actions*/) override
    {
        service_registry &services = m_context->services;
        m_environment.time = &m_context->time;
        m_environment.random = &m_context->random;
        m_environment.routes = &services.find<route_source>();
        m_environment.backends = &services.find<backend_picker>();
        m_environment.rollouts = services.tryFind<rollout_policy>();
        m_environment.members = services.tryFind<member_view>();
        m_suspects.emplace(crash_suspects::environment{&m_context->time, m_context->node.id, m_environment.members});
        m_environment.suspects = &*m_suspects;
        m_flow.emplace(m_environment, m_settings);
    }

    void handle(const event &event, action_list &actions) override
    {
        std::visit(
            overloaded{[&](const forward_received &received) { m_flow->receive(received.request, actions); },
                       [&](const request_abandoned &abandoned) { m_flow->abandon(abandoned.request, actions); },
                       [&](const forward_head_received &received) { m_flow->receiveHead(received, actions); },
                       [&](const forward_event_received &received) { m_flow->receiveEvent(received, actions); },
                       [&](const forward_completed &completed) { m_flow->complete(completed, actions); },
                       [&](const forward_failed &failed) { m_flow->fail(failed, actions); },
                       [&](const forward_configuration_read &) {
                           m_flow->applyHomeRegions();
                           m_flow->refuseUnplaceable(actions);
                           m_flow->startWaitingForConfiguration(actions);
                       },
                       [&](const placement_changed &) { m_flow->refuseUnplaceable(actions); },
                       [&](const backend_list_read &list) {
                           m_suspects->setListed(list);
                           m_flow->startWaitingForConfiguration(actions);
                       },
                       [&](const peer_connected &connected) { m_suspects->peerConnected(connected.peer, actions); },
                       [&](const peer_message_received &received) {
                           if (const auto *evidence = std::get_if<crash_evidence>(&received.message)) {
                               m_suspects->merge(*evidence);
                           }
                       },
                       [&](const capacity_changed &) { m_flow->dispatchWaiting(actions); },
                       [&](const timer_expired &) {
                           m_suspects->expire(actions);
                           m_flow->expire(actions);
                       },
                       [&](const stop_requested &stop) { m_flow->stop(stop.timeLeft); },
                       [](const auto &) {}},
            event);
        if (m_suspects->takeIsolationsAdded()) {
            m_flow->refuseIsolated(actions);
        }
    }

    steady_time nextDeadline() const override
    {
        return m_flow ? std::min(m_flow->nextDeadline(), m_suspects->nextDeadline()) : steady_time::max();
    }

    bool isIdle() const override
    {
        return m_flow->size() == 0 && !m_flow->acceptsRequests();
    }

    void describe(nlohmann::json &status) const override
    {
        status["requests"] = m_flow->size();
        status["waiting"] = m_flow->waiting();
        status["refused_by_forecast"] = m_flow->refusedByForecast();
        m_suspects->describe(status);
        if (const std::string oldest = m_flow->describeOldest(); !oldest.empty()) {
            status["oldest"] = oldest;
        }
    }

private:
    plugin_context *m_context = nullptr;
    forwarding_settings m_settings;
    forward_environment m_environment;
    std::optional<crash_suspects> m_suspects;
    std::optional<forward_flow> m_flow;
};

namespace {

const plugin_registrar autoRegistrar("forwarding",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<forwarding_plugin>(); });

} // namespace

} // namespace crocuslane
