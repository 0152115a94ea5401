#include "kernel/plugin.h"
#include "plugins/backends/backend_selector.h"
#include "plugins/backends/backend_settings.h"
#include "plugins/backends/rate_limit_table.h"
#include "services/runner_use_exchange.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <memory>

namespace crocuslane {

/// Maintains the runners that the platform lists and their load, and selects a runner for each attempt.
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
        vm_location location{context.node.availabilityZone, context.node.region, {}};
        if (const auto *settings = context.services.tryFind<backend_settings>()) {
            location.regions = settings->regions;
        }
        m_selector.emplace(std::move(location), context.random, m_prefillSpeed);
        context.services.offer<backend_picker>(*this);
        context.services.offer<runner_use_exchange>(*this);
    }

    void handle(const event &event, action_list &actions) override
    {
        if (const auto *list = std::get_if<backend_list_read>(&event)) {
            m_table.applyList(*list, now(), actions);
            m_isListRead = true;
            m_context->post(capacity_changed{});
        } else if (const auto *received = std::get_if<forward_head_received>(&event)) {
            noteRateLimit(*received, actions);
        } else if (std::holds_alternative<timer_expired>(event)) {
            m_table.expire(now(), actions);
        }
    }

    steady_time nextDeadline() const override
    {
        return m_table.nextExpiry();
    }

    bool isListRead() const override
    {
        return m_isListRead;
    }

    std::optional<backend_choice> pick(const backend_requirements &requirements) override
    {
        const auto chosen = m_selector->select(m_table.findReady(requirements.service), requirements, now());
        if (!chosen) {
            return std::nullopt;
        }
        const backend_entry &entry = chosen->record->entry;
        backend_choice choice{entry.id, entry.address, entry.version, chosen->expectedDelay};
        if (const rate_limit_table::limit *limit = m_rateLimits.find(processOf(*chosen->record))) {
            choice.rateLimit = known_rate_limit{limit->requestsPerSecond, now() - limit->statedAt};
        }
        return choice;
    }

    bool hasRunner(const backend_requirements &requirements) const override
    {
        for (const auto &[id, record] : m_table.backends()) {
            if (record.entry.service == requirements.service && record.entry.condition == backend_condition::ready
                && backend_selector::isEligible(record, requirements)) {
                return true;
            }
        }
        return false;
    }

    void
    attemptStarted(attempt_number attempt, const backend_requirements &requirements, const runner_id &runner) override
    {
        attempt_load load;
        load.runner = runner;
        load.startedAt = now();
        load.memoryTokens = requirements.promptTokens + requirements.outputTokens;
        backend_record *record = m_table.find(runner);
        if (record != nullptr) {
            load.process = processOf(*record);
        }
        if (record != nullptr && requirements.engine != nullptr && requirements.prompt != nullptr) {
            const std::uint32_t cached = record->prompts.cachedTokens(*requirements.prompt, now());
            load.prefillTokens = requirements.promptTokens - std::min(requirements.promptTokens, cached);
            load.prefillTime = m_prefillSpeed.timeFor(requirements.model, load.prefillTokens);
            load.model = requirements.model;
            record->prompts.add(*requirements.prompt, requirements.engine->kvCacheTokens, now());
        }
        m_table.attemptStarted(attempt, load);
    }

    void answerBegan(attempt_number attempt) override
    {
        const attempt_load *load = m_table.answerBegan(attempt);
        if (load != nullptr && load->prefillTokens > 0) {
            m_prefillSpeed.addMeasurement(load->model, load->prefillTokens, now() - load->startedAt);
        }
    }

    prefill_estimate estimatePrefill(const std::string &model, std::uint32_t promptTokens) const override
    {
        return {m_prefillSpeed.unloadedTimeFor(model, promptTokens), m_prefillSpeed.queueingDelay()};
    }

    void attemptEnded(attempt_number attempt, attempt_end end) override
    {
        if (backend_record *record = m_table.attemptEnded(attempt)) {
            record->failures.addResult(end, now());
        }
        m_context->post(capacity_changed{});
    }

    void noteLoad(const runner_id &runner, const reported_load &load) override
    {
        if (backend_record *record = m_table.find(runner)) {
            record->load = load;
            record->loadReceivedAt = now();
            record->localRunningAtLoad = record->localRunning;
        }
    }

    std::vector<runner_use> localUse() const override
    {
        std::vector<runner_use> use;
        for (const auto &[id, record] : m_table.backends()) {
            use.push_back({id, record.localRunning, false});
        }
        return use;
    }

    void setRemoteUse(const vm_id &vm, const std::vector<runner_use> &use) override
    {
        removeRemote(vm);
        for (const runner_use &each : use) {
            backend_record *record = m_table.find(each.runner);
            if (record != nullptr && each.inFlight > 0) {
                record->remoteRunningByVm[vm] = each.inFlight;
            }
        }
    }

    void removeRemote(const vm_id &vm) override
    {
        for (auto &[id, record] : m_table.backends()) {
            record.remoteRunningByVm.erase(vm);
        }
    }

    void describe(nlohmann::json &status) const override
    {
        status["runners"] = m_table.size();
        status["limited_runners"] = m_rateLimits.size();
    }

private:
    steady_time now() const
    {
        return m_context->time.steadyNow();
    }

    static runner_key processOf(const backend_record &record)
    {
        return keyOf(record.entry.id, record.entry.startedUnixMilliseconds);
    }

    void noteRateLimit(const forward_head_received &received, action_list &actions)
    {
        const forward_answer_head &head = received.head;
        const attempt_load *load = m_table.findAttempt(received.attempt);
        // Another runner's answer says nothing about this one.
        if (load == nullptr || head.isMisdirected || head.identity == answer_identity::other) {
            return;
        }
        const rate_limit_table::change change =
            m_rateLimits.note(load->process, head.rateLimit, head.isGenuine, load->startedAt, now());
        if (change == rate_limit_table::change::stated) {
            actions.push_back(
                log_decision{"runner_limit_stated",
                             {},
                             {{"runner", load->runner.value()},
                              {"requests_per_s", fmt::format("{:g}", *head.rateLimit.requestsPerSecond)}}});
        } else if (change == rate_limit_table::change::lifted) {
            actions.push_back(log_decision{"runner_limit_lifted", {}, {{"runner", load->runner.value()}}});
        } else if (change == rate_limit_table::change::unreadable) {
            actions.push_back(log_decision{"runner_limit_unreadable",
                                           {},
                                           {{"runner", load->runner.value()}, {"value", head.rateLimit.unreadable}}});
        }
    }

    plugin_context *m_context = nullptr;
    backend_table m_table;
    rate_limit_table m_rateLimits;
    bool m_isListRead = false;
    prefill_speed m_prefillSpeed;
    std::optional<backend_selector> m_selector;
};

namespace {

const plugin_registrar autoRegistrar("backends",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<backends_plugin>(); });

} // namespace

} // namespace crocuslane
