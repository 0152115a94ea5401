#include "kernel/plugin.h"
#include "plugins/backends/backend_selector.h"
#include "plugins/backends/backend_settings.h"
#include "services/runner_use_exchange.h"

#include <nlohmann/json.hpp>

#include <memory>

namespace crocuslane {

/// Runners that the platform lists, their load, and the choice among them.
class backends_plugin : public plugin, public backend_picker, public runner_use_exchange
{
public:
    std::string_view name() const override
    {
        return "backends";
    }

    void initialize(plugin_context &context) override
    {
        m_context = &context;
        vm_place place{context.node.availabilityZone, context.node.region, {}};
        if (const auto *settings = context.services.tryFind<backend_settings>()) {
            place.regions = settings->regions;
        }
        m_selector.emplace(std::move(place), context.random, m_speed);
        context.services.offer<backend_picker>(*this);
        context.services.offer<runner_use_exchange>(*this);
    }

    void handle(const event &event, action_list &actions) override
    {
        if (const auto *list = std::get_if<backend_list_read>(&event)) {
            m_table.applyList(*list, now(), actions);
            m_context->post(capacity_changed{});
        } else if (std::holds_alternative<timer_expired>(event)) {
            m_table.expire(now(), actions);
        }
    }

    steady_time nextDeadline() const override
    {
        return m_table.nextExpiry();
    }

    std::optional<backend_choice> pick(const backend_requirements &need) override
    {
        const auto chosen = m_selector->select(m_table.ofService(need.service), need, now());
        if (!chosen) {
            return std::nullopt;
        }
        const backend_entry &entry = chosen->state->entry;
        return backend_choice{entry.id, entry.address, entry.version, chosen->expectedDelay};
    }

    bool hasRunner(const backend_requirements &need) const override
    {
        for (const auto &[id, state] : m_table.states()) {
            if (state.entry.service == need.service && state.entry.condition == backend_condition::ready
                && backend_selector::isEligible(state, need)) {
                return true;
            }
        }
        return false;
    }

    void attemptStarted(attempt_number attempt, const backend_requirements &need, const runner_id &runner) override
    {
        attempt_load load;
        load.runner = runner;
        load.memoryTokens = need.promptTokens + need.outputTokens;
        backend_record *state = m_table.find(runner);
        if (state != nullptr && need.engine != nullptr && need.prompt != nullptr) {
            const std::uint32_t cached = state->prompts.cachedTokens(*need.prompt, now());
            load.unreadTokens = need.promptTokens - std::min(need.promptTokens, cached);
            load.unreadTime = m_speed.timeFor(need.model, load.unreadTokens);
            load.model = need.model;
            load.startedAt = now();
            state->prompts.note(*need.prompt, need.engine->kvCacheTokens, now());
        }
        m_table.attemptStarted(attempt, load);
    }

    void firstEventReceived(attempt_number attempt) override
    {
        const attempt_load *load = m_table.firstEvent(attempt);
        if (load != nullptr && load->unreadTokens > 0) {
            m_speed.note(load->model, load->unreadTokens, now() - load->startedAt);
        }
    }

    void attemptEnded(attempt_number attempt, attempt_end end) override
    {
        if (backend_record *state = m_table.attemptEnded(attempt)) {
            state->failures.note(end, now());
        }
        m_context->post(capacity_changed{});
    }

    void noteLoad(const runner_id &runner, const reported_load &load) override
    {
        if (backend_record *state = m_table.find(runner)) {
            state->load = load;
            state->loadAt = now();
            state->runningAtLoad = state->running;
        }
    }

    std::vector<runner_use> localUse() const override
    {
        std::vector<runner_use> use;
        for (const auto &[id, state] : m_table.states()) {
            use.push_back({id, state.running, false});
        }
        return use;
    }

    void setRemoteUse(const vm_id &vm, const std::vector<runner_use> &use) override
    {
        removeRemote(vm);
        for (const runner_use &each : use) {
            backend_record *state = m_table.find(each.runner);
            if (state != nullptr && each.inFlight > 0) {
                state->remote[vm] = each.inFlight;
            }
        }
    }

    void removeRemote(const vm_id &vm) override
    {
        for (auto &[id, state] : m_table.states()) {
            state.remote.erase(vm);
        }
    }

    void describe(nlohmann::json &status) const override
    {
        status["runners"] = m_table.size();
    }

private:
    steady_time now() const
    {
        return m_context->time.steadyNow();
    }

    plugin_context *m_context = nullptr;
    backend_table m_table;
    reading_speed m_speed;
    std::optional<backend_selector> m_selector;
};

namespace {

const plugin_registrar autoRegistrar("backends",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<backends_plugin>(); });

} // namespace

} // namespace crocuslane
