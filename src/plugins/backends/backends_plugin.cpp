#include "kernel/plugin.h"
#include "plugins/backends/backend_selector.h"
#include "plugins/backends/backend_settings.h"
#include "plugins/backends/cold_runners.h"
#include "plugins/backends/rate_limit_exchange.h"
#include "plugins/backends/rate_limiter.h"
#include "plugins/backends/remote_use.h"
#include "services/member_view.h"
#include "services/runner_use_exchange.h"

#include <nlohmann/json.hpp>

#include <memory>

namespace crocuslane {

namespace {

// An entry that states coldness takes up to this time to be written and read.
constexpr std::chrono::seconds returnReportDelay{3};

} // namespace

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
        m_filter.emplace(m_evacuations, location.regions);
        m_selector.emplace(std::move(location), context.random, m_prefillSpeed, *m_filter, m_speeds);
        m_limiter.emplace(context.node.id, rate_limiter::source_list{&m_limits, &m_coldRunners});
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
            m_coldRunners.applyList(*list, now());
            forgetReplacedProcesses();
            m_isListRead = true;
            announcePlacement();
        } else if (const auto *evacuations = std::get_if<zone_evacuations_read>(&event)) {
            m_evacuations.apply(*evacuations, now(), actions);
            limitReturnedZones();
            announcePlacement();
        } else if (const auto *confirmed = std::get_if<backend_list_confirmed>(&event)) {
            m_coldRunners.setListTime(confirmed->upToDateAt);
        } else if (const auto *read = std::get_if<forward_configuration_read>(&event)) {
            readServices(*read);
        } else if (const auto *received = std::get_if<forward_head_received>(&event)) {
            noteColdness(*received);
            noteLeaving(*received, actions);
            announceIf(m_limitExchange.headReceived(*received, now(), actions));
        } else if (const auto *connected = std::get_if<peer_connected>(&event)) {
            m_limitExchange.connected(connected->peer, now(), actions);
        } else if (const auto *message = std::get_if<peer_message_received>(&event)) {
            if (const auto *limits = std::get_if<runner_limits>(&message->message)) {
                announceIf(m_limitExchange.receive(*limits, now(), actions));
            }
        } else if (std::holds_alternative<timer_expired>(event)) {
            expirePlacement(actions);
            m_limitExchange.expire(now(), actions);
            announcePermits();
        }
        announceIf(m_coldRunners.report(now(), actions));
    }

    steady_time nextDeadline() const override
    {
        return std::min({m_table.nextExpiry(),
                         m_nextPermit,
                         m_limitExchange.nextDeadline(),
                         m_evacuations.nextExpiry(),
                         m_coldRunners.nextDeadline()});
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
            if (record.entry.service == requirements.service && m_selector->isEligible(record, requirements)) {
                return true;
            }
        }
        return false;
    }

    std::optional<refusal_reason> refusal(const backend_requirements &requirements) const override
    {
        std::vector<const backend_record *> runners;
        for (const auto &[id, record] : m_table.backends()) {
            if (record.entry.service == requirements.service) {
                runners.push_back(&record);
            }
        }
        return m_filter->refusal(runners, requirements);
    }

    std::optional<duration> limitDelay(const backend_requirements &requirements, std::size_t before) override
    {
        std::optional<duration> shortest;
        std::optional<duration> untilUnlimited;
        double rate = 0.0;
        for (const backend_record *record : m_table.findReady(requirements.service)) {
            if (!m_selector->isEligible(*record, requirements)) {
                continue;
            }
            const runner_key process = record->process();
            const std::optional<runner_limit> limit = m_limiter->limitOf(process, now());
            if (!limit) {
                return duration::zero();
            }
            if (limit->until) {
                const duration left = *limit->until - now();
                untilUnlimited = std::min(untilUnlimited.value_or(left), left);
            }
            if (const std::optional<duration> delay = m_limiter->delay(process, now())) {
                shortest = std::min(shortest.value_or(*delay), *delay);
                rate += m_limiter->rate(process, now());
            }
        }
        if (!shortest) {
            return std::nullopt;
        }
        const duration wait = rate > 0.0 ? fromSeconds(static_cast<double>(before) / rate) : duration::zero();
        return std::min(*shortest + wait, untilUnlimited.value_or(duration::max()));
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
        if (load != nullptr && end == attempt_end::not_sent) {
            m_coldRunners.setColdFrom(load->process, now(), duration::zero(), cold_source::connection_refused);
        }
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

    std::size_t evacuatedZoneCount() const override
    {
        return m_evacuations.size();
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
        status["leaving_runners"] = m_table.leavingCount();
        status["evacuated_zones"] = m_evacuations.names();
        status["slow_runners"] = m_speeds.slowProcesses(now());
        status["remote_load_age_ms"] = std::chrono::round<std::chrono::milliseconds>(m_remoteUse.age(now())).count();
        status["cold_runners"] = m_coldRunners.size();
        status["runner_list_old"] = m_coldRunners.isListOld();
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
        if (!m_limiter->hasLimits(now())) {
            return next;
        }
        std::erase_if(candidates, [&](const backend_record *record) {
            const std::optional<duration> delay = m_limiter->delay(record->process(), now());
            if (delay == duration::zero()) {
                return false;
            }
            if (delay && m_selector->isEligible(*record, requirements)) {
                next = std::min(next, now() + *delay);
            }
            return true;
        });
        return next;
    }

    void expirePlacement(action_list &actions)
    {
        const std::size_t before = m_table.size() + m_evacuations.size();
        m_table.expire(now(), actions);
        m_evacuations.expire(now(), actions);
        limitReturnedZones();
        if (m_table.size() + m_evacuations.size() < before) {
            announcePlacement();
        }
    }

    void announcePlacement()
    {
        m_context->post(placement_changed{});
        m_context->post(capacity_changed{});
    }

    /// The runners of a zone are cold when its evacuation ends; their entries say so some seconds later.
    void limitReturnedZones()
    {
        for (const auto &[id, record] : m_table.backends()) {
            if (m_evacuations.returnedAt(record.entry.availabilityZone) == now()) {
                m_coldRunners.setColdFrom(record.process(), now(), returnReportDelay, cold_source::evacuation);
            }
        }
    }

    void readServices(const forward_configuration_read &read)
    {
        // As the plug-in routes does, ignore a version that is not newer.
        if (read.configuration && (!m_configurationVersion || read.configuration->version > *m_configurationVersion)) {
            m_configurationVersion = read.configuration->version;
            m_coldRunners.setServices(read.configuration->services);
        }
    }

    void noteColdness(const forward_head_received &received)
    {
        const forward_answer_head &head = received.head;
        const attempt_load *load = m_table.findAttempt(received.attempt);
        // Another runner's answer says nothing about this one.
        if (load != nullptr && head.coldLeft && !head.isMisdirected && head.identity != answer_identity::other) {
            m_coldRunners.setColdUntil(load->process, now() + *head.coldLeft, cold_source::answer);
        }
    }

    void noteLeaving(const forward_head_received &received, action_list &actions)
    {
        const forward_answer_head &head = received.head;
        // Another runner's answer says nothing about this one.
        if (head.isMisdirected || head.identity == answer_identity::other) {
            return;
        }
        if (m_table.noteLeaving(received.attempt, head.leaving, now(), actions)) {
            announcePlacement();
        }
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
    cold_runners m_coldRunners;
    std::optional<std::uint64_t> m_configurationVersion;
    rate_limit_exchange m_limitExchange{m_limits, m_table};
    std::optional<rate_limiter> m_limiter;
    /// When the queue is looked at again because a runner with a limit takes another request.
    steady_time m_nextPermit = steady_time::max();
    bool m_isListRead = false;
    prefill_speed m_prefillSpeed;
    zone_evacuations m_evacuations;
    std::optional<placement_filter> m_filter;
    runner_speeds m_speeds;
    std::optional<backend_selector> m_selector;
};

namespace {

const plugin_registrar autoRegistrar("backends",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<backends_plugin>(); });

} // namespace

} // namespace crocuslane
