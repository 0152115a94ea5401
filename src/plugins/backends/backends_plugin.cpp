#include "kernel/plugin.h"
#include "plugins/backends/backend_selector.h"
#include "plugins/backends/backend_settings.h"
#include "plugins/backends/rate_limit_exchange.h"
#include "plugins/backends/rate_limiter.h"
#include "plugins/backends/remote_use.h"
#include "services/member_view.h"
#include "services/runner_use_exchange.h"

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
        m_selector.emplace(std::move(location), context.random, m_prefillSpeed, m_speeds);
        m_limiter.emplace(context.node.id, m_limits);
        context.services.offer<backend_picker>(*this);
        context.services.offer<runner_use_exchange>(*this);
    }

    void start(action_list & /*actions*/) override
    {
        const auto *members = m_context->services.tryFind<member_view>();
        m_limiter->setMembers(members);
        m_limitExchange.setMembers(members);
    }

    void handle(const event &event, action_list &actions) override
    {
        if (const auto *list = std::get_if<backend_list_read>(&event)) {
            m_table.applyList(*list, now(), actions);
            forgetReplacedProcesses();
            m_isListRead = true;
            m_context->post(capacity_changed{});
        } else if (const auto *received = std::get_if<forward_head_received>(&event)) {
            announceIf(m_limitExchange.headReceived(*received, now(), actions));
        } else if (const auto *connected = std::get_if<peer_connected>(&event)) {
            m_limitExchange.connected(connected->peer, now(), actions);
        } else if (const auto *message = std::get_if<peer_message_received>(&event)) {
            if (const auto *limits = std::get_if<runner_limits>(&message->message)) {
                announceIf(m_limitExchange.receive(*limits, now(), actions));
            }
        } else if (std::holds_alternative<timer_expired>(event)) {
            m_table.expire(now(), actions);
            m_limitExchange.expire(now(), actions);
            announcePermits();
        }
    }

    steady_time nextDeadline() const override
    {
        return std::min({m_table.nextExpiry(), m_nextPermit, m_limitExchange.nextDeadline()});
    }

    bool isListRead() const override
    {
        return m_isListRead;
    }

    std::optional<backend_choice> pick(const backend_requirements &requirements) override
    {
        std::vector<backend_record *> candidates = m_table.findReady(requirements.service);
        const steady_time nextPermit = removeLimited(candidates, requirements);
        const auto chosen = m_selector->select(candidates, requirements, now());
        if (!chosen) {
            m_nextPermit = std::min(m_nextPermit, nextPermit);
            return std::nullopt;
        }
        const backend_entry &entry = chosen->record->entry;
        backend_choice choice{entry.id, entry.address, entry.version, chosen->expectedDelay};
        if (const rate_limit_table::limit *limit = m_limits.find(chosen->record->process())) {
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

    std::optional<duration> limitDelay(const backend_requirements &requirements, std::size_t before) override
    {
        std::optional<duration> shortest;
        double rate = 0.0;
        for (const backend_record *record : m_table.findReady(requirements.service)) {
            if (!backend_selector::isEligible(*record, requirements)) {
                continue;
            }
            const runner_key process = record->process();
            if (m_limits.find(process) == nullptr) {
                return duration::zero();
            }
            if (const std::optional<duration> delay = m_limiter->delay(process, now())) {
                shortest = std::min(shortest.value_or(*delay), *delay);
                rate += m_limiter->rate(process, now());
            }
        }
        return shortest ? std::optional(*shortest + fromSeconds(static_cast<double>(before) / rate)) : std::nullopt;
    }

    void
    attemptStarted(attempt_number attempt, const backend_requirements &requirements, const runner_id &runner) override
    {
        attempt_load load;
        load.runner = runner;
        load.startedAt = now();
        load.service = requirements.service;
        load.memoryTokens = requirements.promptTokens + requirements.outputTokens;
        backend_record *record = m_table.find(runner);
        if (record != nullptr) {
            load.process = record->process();
            m_limiter->take(load.process, now());
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
            const duration expected = load->prefillTime + m_prefillSpeed.queueingDelay();
            m_prefillSpeed.addMeasurement(load->model, load->prefillTokens, now() - load->startedAt);
            addSpeed(*load, load->model, expected);
        }
    }

    prefill_estimate estimatePrefill(const std::string &model, std::uint32_t promptTokens) const override
    {
        return {m_prefillSpeed.unloadedTimeFor(model, promptTokens), m_prefillSpeed.queueingDelay()};
    }

    void attemptEnded(attempt_number attempt, attempt_end end) override
    {
        const attempt_load *load = m_table.findAttempt(attempt);
        if (load != nullptr && end == attempt_end::complete && load->model.empty()) {
            addSpeed(*load, load->service.value(), std::chrono::seconds(1));
        }
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
        m_remoteUse.set(vm, use, now());
    }

    void removeRemote(const vm_id &vm) override
    {
        m_remoteUse.remove(vm);
    }

    void describe(nlohmann::json &status) const override
    {
        status["runners"] = m_table.size();
        status["limited_runners"] = m_limits.size();
        status["slow_runners"] = m_speeds.slowProcesses(now());
        status["remote_load_age_ms"] = std::chrono::round<std::chrono::milliseconds>(m_remoteUse.age(now())).count();
    }

private:
    /// The slowdown that the runner itself reports is in the cost already.
    void addSpeed(const attempt_load &load, const std::string &group, duration expected)
    {
        const backend_record *record = m_table.find(load.runner);
        if (record != nullptr && record->process() == load.process) {
            const double reported = record->slowdownFactor(now());
            const duration measured = fromSeconds(toSeconds(now() - load.startedAt) / reported);
            m_speeds.add(group, load.process, measured, expected, now());
        }
    }

    void forgetReplacedProcesses()
    {
        std::set<runner_key> listed;
        for (const auto &[id, record] : m_table.backends()) {
            listed.insert(record.process());
        }
        m_speeds.keepOnly([&listed](runner_key process) { return listed.contains(process); });
    }

    steady_time now() const
    {
        return m_context->time.steadyNow();
    }

    /// Removes the runners that get no request from this VM now because of their limits. Returns when the first of
    /// them that could serve the request may get one.
    steady_time removeLimited(std::vector<backend_record *> &candidates, const backend_requirements &requirements)
    {
        steady_time next = steady_time::max();
        if (m_limits.size() == 0) {
            return next;
        }
        std::erase_if(candidates, [&](const backend_record *record) {
            const std::optional<duration> delay = m_limiter->delay(record->process(), now());
            if (delay == duration::zero()) {
                return false;
            }
            if (delay && backend_selector::isEligible(*record, requirements)) {
                next = std::min(next, now() + *delay);
            }
            return true;
        });
        return next;
    }

    void announcePermits()
    {
        if (now() >= m_nextPermit) {
            m_nextPermit = steady_time::max();
            m_context->post(capacity_changed{});
        }
    }

    void announceIf(bool hasMoreCapacity)
    {
        if (hasMoreCapacity) {
            m_context->post(capacity_changed{});
        }
    }

    plugin_context *m_context = nullptr;
    backend_table m_table;
    remote_use m_remoteUse{m_table};
    rate_limit_table m_limits;
    rate_limit_exchange m_limitExchange{m_limits, m_table};
    std::optional<rate_limiter> m_limiter;
    /// When the queue is looked at again because a runner with a limit takes another request.
    steady_time m_nextPermit = steady_time::max();
    bool m_isListRead = false;
    prefill_speed m_prefillSpeed;
    runner_speeds m_speeds;
    std::optional<backend_selector> m_selector;
};

namespace {

const plugin_registrar autoRegistrar("backends",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<backends_plugin>(); });

} // namespace

} // namespace crocuslane
