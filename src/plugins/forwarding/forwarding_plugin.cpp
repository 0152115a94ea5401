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

/// Carries requests that are passed to backend servers as callers sent them.
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
        m_tools.time = &m_context->time;
        m_tools.random = &m_context->random;
        m_tools.routes = &services.find<route_source>();
        m_tools.backends = &services.find<backend_picker>();
        m_tools.rollouts = services.tryFind<rollout_policy>();
        m_tools.members = services.tryFind<member_view>();
        m_flow.emplace(m_tools, m_settings);
    }

    void handle(const event &event, action_list &actions) override
    {
        std::visit(overloaded{[&](const forward_received &received) { receive(received.request, actions); },
                              [&](const request_abandoned &abandoned) { m_flow->abandon(abandoned.request, actions); },
                              [&](const forward_head_received &received) { m_flow->receiveHead(received, actions); },
                              [&](const forward_event_received &received) { m_flow->receiveEvent(received, actions); },
                              [&](const forward_completed &completed) { m_flow->complete(completed, actions); },
                              [&](const forward_failed &failed) { m_flow->fail(failed, actions); },
                              [&](const capacity_changed &) { m_flow->dispatchWaiting(actions); },
                              [&](const timer_expired &) { m_flow->expire(actions); },
                              [&](const stop_requested &) { m_stopBegan = m_context->time.steadyNow(); },
                              [](const auto &) {}},
                   event);
    }

    steady_time nextDeadline() const override
    {
        return m_flow ? m_flow->nextDeadline() : steady_time::max();
    }

    bool isIdle() const override
    {
        return m_flow->size() == 0 && !acceptsRequests();
    }

    void describe(nlohmann::json &status) const override
    {
        status["requests"] = m_flow->size();
        status["waiting"] = m_flow->waiting();
        if (const std::string oldest = m_flow->describeOldest(); !oldest.empty()) {
            status["oldest"] = oldest;
        }
    }

private:
    bool acceptsRequests() const
    {
        return !m_stopBegan || m_context->time.steadyNow() < *m_stopBegan + m_settings.acceptAfterStop;
    }

    void receive(const forward_request &request, action_list &actions)
    {
        if (acceptsRequests()) {
            m_flow->receive(request, actions);
            return;
        }
        constexpr std::chrono::milliseconds elsewhereAtOnce{50};
        actions.push_back(refuse_forward{request.request, refusal_reason::stopping, elsewhereAtOnce});
    }

    plugin_context *m_context = nullptr;
    forwarding_settings m_settings;
    flow_tools m_tools;
    std::optional<forward_flow> m_flow;
    std::optional<steady_time> m_stopBegan;
};

namespace {

const plugin_registrar autoRegistrar("forwarding",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<forwarding_plugin>(); });

} // namespace

} // namespace crocuslane
