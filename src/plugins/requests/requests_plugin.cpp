#include "kernel/plugin.h"
#include "plugins/requests/call_flow.h"
#include "plugins/requests/flow_environment.h"
#include "plugins/requests/model_flow.h"
#include "plugins/requests/request_checks.h"

#include <nlohmann/json.hpp>

#include <memory>

namespace crocuslane {

namespace {

/// Lifecycle of model requests and service calls, from their arrival to the end of the answer.
class requests_plugin : public plugin
{
public:
    std::string_view name() const override
    {
        return "requests";
    }

    void initialize(plugin_context &context) override
    {
        m_environment = std::make_unique<flow_environment>(context);
        m_models = std::make_unique<model_flow>(*m_environment);
        m_calls = std::make_unique<call_flow>(*m_environment);
    }

    // The services are optional look-ups rather than declared dependencies, so that a process can run without some of
    // them.
    void start(action_list & /*actions*/) override
    {
        const service_registry &registry = m_environment->context.services;
        m_environment->services = {registry.tryFind<configuration_source>(),
                                   registry.tryFind<version_chooser>(),
                                   registry.tryFind<admission_controller>(),
                                   registry.tryFind<runner_picker>(),
                                   registry.tryFind<claim_registry>(),
                                   registry.tryFind<bill_ledger>()};
    }

    void handle(const event &event, action_list &actions) override
    {
        std::visit([this, &actions](const auto &content) { on(content, actions); }, event);
        processQueue(actions);
    }

    steady_time nextDeadline() const override
    {
        return m_environment->deadlines.next();
    }

    bool isIdle() const override
    {
        return m_models->size() == 0 && m_calls->size() == 0;
    }

    void describe(nlohmann::json &status) const override
    {
        status["modelRequests"] = m_models->size();
        status["serviceCalls"] = m_calls->size();
        status["queued"] = m_environment->queue.size();
        status["isStopping"] = m_environment->isStopping;
    }

private:
    template<typename other_event>
    void on(const other_event & /*event*/, action_list & /*actions*/)
    {
    }

    void on(const timer_expired & /*event*/, action_list &actions)
    {
        while (const std::optional<request_id> request = m_environment->deadlines.takeExpired(m_environment->now())) {
            m_models->expire(*request, actions);
            m_calls->expire(*request, actions);
        }
    }

    void on(const model_request_received &event, action_list &actions)
    {
        const model_request &request = event.request;
        if (const std::optional<caller> callerIdentity =
                acceptNewRequest(request.request, request.callerKeyHash, request.resumeFrom, actions)) {
            m_models->receive(request, *callerIdentity, actions);
        }
    }

    void on(const service_call_received &event, action_list &actions)
    {
        const std::size_t firstNewAction = actions.size();
        const std::optional<caller> callerIdentity =
            acceptNewRequest(event.call.request, event.call.callerKeyHash, 0, actions);
        if (!callerIdentity && !event.call.idempotencyKey.empty()) {
            auto &refusal = std::get<refuse_request>(actions[firstNewAction]);
            refusal.error = refusedBeforeClaim(std::move(refusal.error));
        }
        if (callerIdentity) {
            m_calls->receive(event.call, *callerIdentity, actions);
        }
    }

    void on(const request_abandoned &event, action_list &actions)
    {
        m_models->abandon(event.request, actions);
        m_calls->abandon(event.request, actions);
    }

    void on(const token_received &event, action_list &actions)
    {
        m_models->receiveToken(event, actions);
    }

    void on(const attempt_finished &event, action_list &actions)
    {
        m_models->finishAttempt(event, actions);
    }

    void on(const attempt_failed &event, action_list &actions)
    {
        m_models->failAttempt(event.attempt, event.failure, actions);
        m_calls->failAttempt(event.attempt, event.failure, actions);
    }

    void on(const call_answered &event, action_list &actions)
    {
        m_calls->receiveAnswer(event, actions);
    }

    void on(const claim_decided &event, action_list &actions)
    {
        m_calls->handleClaimDecision(event, actions);
    }

    void on(const bill_durable &event, action_list &actions)
    {
        m_models->handleBillDurable(event.request, actions);
    }

    void on(const capacity_changed & /*event*/, action_list & /*actions*/)
    {
        m_environment->isDispatchPending = true;
    }

    void on(const configuration_changed & /*event*/, action_list & /*actions*/)
    {
        m_environment->isDispatchPending = true;
    }

    void on(const freshness_changed & /*event*/, action_list & /*actions*/)
    {
        m_environment->isDispatchPending = true;
    }

    void on(const stop_requested & /*event*/, action_list & /*actions*/)
    {
        m_environment->isStopping = true;
    }

    std::optional<caller> acceptNewRequest(const request_id &request,
                                           const std::string &keyHash,
                                           std::uint32_t resumeFrom,
                                           action_list &actions)
    {
        m_environment->context.timeline.record(timeline_kind::request_received, request, {});
        if (m_models->contains(request) || m_calls->contains(request)) {
            // Whether the first request with this id runs is known only at its end.
            actions.push_back(refuse_request{request,
                                             {error_code::request_in_progress,
                                              execution_state::unknown,
                                              "a request with this id is in progress at this entry VM",
                                              0.0}});
            return std::nullopt;
        }
        auto checked = checkNewRequest(*m_environment, keyHash);
        if (auto *error = std::get_if<request_error>(&checked)) {
            if (resumeFrom > 0) {
                error->execution = execution_state::ran;
            }
            actions.push_back(refuse_request{request, std::move(*error)});
            return std::nullopt;
        }
        return std::get<caller>(checked);
    }

    void processQueue(action_list &actions)
    {
        while (m_environment->isDispatchPending || !m_environment->displaced.empty()) {
            const std::vector<request_id> displaced = std::exchange(m_environment->displaced, {});
            for (const request_id &request : displaced) {
                m_models->dropFromQueue(request, actions);
                m_calls->dropFromQueue(request, actions);
            }
            m_environment->isDispatchPending = false;
            m_environment->queue.dispatch([this, &actions](const request_id &request) {
                return m_models->contains(request) ? m_models->tryStart(request, actions)
                                                   : m_calls->tryStart(request, actions);
            });
        }
        for (const request_id &request : std::exchange(m_environment->enqueued, {})) {
            if (m_environment->services.admission && m_environment->queue.contains(request)) {
                m_environment->services.admission->noteQueued(request);
            }
        }
    }

    std::unique_ptr<flow_environment> m_environment;
    std::unique_ptr<model_flow> m_models;
    std::unique_ptr<call_flow> m_calls;
};

const plugin_registrar autoRegistrar("requests",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<requests_plugin>(); });

} // namespace

} // namespace crocuslane
