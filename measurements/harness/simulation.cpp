#include "harness/simulation.h"

#include "harness/fixed_services.h"
#include "services/member_view.h"
#include "services/runner_picker.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

namespace crocuslane {

namespace {

constexpr std::chrono::seconds vmListInterval{1};
/// Cost of prefilling a prompt token as a share of the cost of generating a token; both costs are engine settings.
constexpr double prefillShare = 0.01;
constexpr unsigned attemptBits = 40;
constexpr std::uint64_t bytesPerPromptToken = 4;
/// A streamed token is sent as one event with its JSON envelope.
constexpr std::uint64_t bytesPerOutputToken = 180;

class discarding_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

enum class scheduled_event_kind {
    arrival,
    engine_wake,
    vm_timer,
    submit,
    engine_cancel,
    token,
    finished,
    failed,
    silence_check,
    poll_load,
    poll_cache,
    poll_list,
    exchange,
    change,
};

struct scheduled_event {
    steady_time time;
    std::uint64_t sequence = 0;
    scheduled_event_kind kind = scheduled_event_kind::arrival;
    /// Index of a request, runner, VM or change, or the number of an attempt.
    std::uint64_t subject = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0;

    bool operator>(const scheduled_event &other) const
    {
        return time != other.time ? time > other.time : sequence > other.sequence;
    }
};

struct attempt_record {
    std::size_t request = 0;
    std::size_t vm = 0;
    std::size_t runner = 0;
    version_id version;
    std::uint32_t priority = 0;
    std::uint32_t resumeFrom = 0;
    duration silenceLimit{};
    steady_time lastActivity;
    attempt_failure failure = attempt_failure::connection_lost;
    finish_reason reason = finish_reason::stop;
    token_usage usage;
    bool isAtEngine = false;
    bool isEnded = false;
};

struct vm_record {
    node_location location;
    std::unique_ptr<seeded_random> random;
    std::unique_ptr<kernel> vmKernel;
    runner_picker *picker = nullptr;
    steady_time timerAt = steady_time::max();
    std::vector<std::size_t> watched;
    std::vector<std::uint64_t> cacheSequence;
    /// Entry VMs that have an open connection to this one.
    std::set<std::size_t> peers;
    bool isIsolated = false;
};

struct runner_record {
    node_location location;
    std::unique_ptr<engine_model> engine;
    steady_time wakeAt = steady_time::max();
    bool isDown = false;
    /// Time of the last change of isDown, which the VM list shows after a delay.
    steady_time changedAt;
};

} // namespace

class simulation::implementation
{
public:
    implementation(const deployment_parameters &deployment,
                   const workload_parameters &workload,
                   const plugin_setup &setup,
                   std::uint64_t seed)
        : m_deployment(deployment)
        , m_workload(workload)
        , m_start(m_clock.steadyNow())
    {
        for (const node_location &location : deployment.runners) {
            engine_settings settings = deployment.engine;
            settings.seed = seed * 1000 + m_runners.size();
            m_runners.push_back(
                {location, std::make_unique<engine_model>(settings, m_start), steady_time::max(), false, {}});
            m_runnerIndexes[location.id] = m_runners.size() - 1;
        }
        for (const node_location &location : deployment.vms) {
            vm_record vm;
            vm.location = location;
            vm.random = std::make_unique<seeded_random>(seed * 100 + m_vms.size());
            vm.cacheSequence.assign(m_runners.size(), 1);
            node_identity node{
                vm_id(location.id), 1, location.availabilityZone, location.region, {}, peerAddress(location)};
            m_vmIndexes[location.id] = m_vms.size();
            vm.vmKernel = std::make_unique<kernel>(
                kernel::environment{m_clock, *vm.random, std::move(node), {"key"}, m_timeline});
            setup(*vm.vmKernel, m_vms.size());
            vm.vmKernel->add(makePlugin("requests"));
            m_vms.push_back(std::move(vm));
        }
    }

    void run(const std::vector<simulated_request> &requests, duration length)
    {
        m_requests = &requests;
        m_outcomes.resize(requests.size());
        for (std::size_t index = 0; index < requests.size(); ++index) {
            m_outcomes[index].kind = requests[index].kind;
            m_outcomes[index].vm = requests[index].vm;
            m_outcomes[index].arrival = requests[index].arrival;
            m_requestIndexes[requests[index].id] = index;
        }
        startVms();
        if (!requests.empty()) {
            schedule(m_start + requests.front().arrival, scheduled_event_kind::arrival, 0);
        }
        const steady_time end = m_start + length;
        while (!m_scheduledEvents.empty() && m_scheduledEvents.top().time <= end) {
            const scheduled_event next = m_scheduledEvents.top();
            m_scheduledEvents.pop();
            m_clock.advanceTo(next.time);
            process(next);
        }
    }

    void failRunner(std::size_t runner)
    {
        runner_record &record = m_runners[runner];
        record.isDown = true;
        record.changedAt = now();
        record.engine->restart(now());
        for (auto &[number, attempt] : m_attempts) {
            if (attempt.runner == runner && attempt.isAtEngine && !attempt.isEnded) {
                attempt.isAtEngine = false;
                attempt.failure = attempt_failure::connection_lost;
                schedule(now() + delay(attempt), scheduled_event_kind::failed, number);
            }
        }
    }

    void recoverRunner(std::size_t runner)
    {
        m_runners[runner].isDown = false;
        m_runners[runner].changedAt = now();
    }

    static std::string peerAddress(const node_location &location)
    {
        return "peer-" + location.id;
    }

    void setIsolated(std::size_t vm, bool isIsolated)
    {
        m_vms[vm].isIsolated = isIsolated;
    }

    void at(duration time, std::function<void()> change)
    {
        m_changes.push_back(std::move(change));
        schedule(m_start + time, scheduled_event_kind::change, m_changes.size() - 1);
    }

    steady_time now() const
    {
        return m_clock.steadyNow();
    }

    const deployment_parameters &m_deployment;
    const workload_parameters &m_workload;
    manual_clock m_clock;
    steady_time m_start;
    discarding_timeline m_timeline;
    std::vector<runner_record> m_runners;
    std::vector<vm_record> m_vms;
    std::vector<request_outcome> m_outcomes;
    std::uint64_t m_attemptsStarted = 0;
    std::uint64_t m_bytesBetweenRegions = 0;

private:
    void schedule(steady_time time,
                  scheduled_event_kind kind,
                  std::uint64_t subject,
                  std::uint32_t index = 0,
                  std::uint32_t count = 0)
    {
        m_scheduledEvents.push({std::max(time, now()), m_nextSequence++, kind, subject, index, count});
    }

    bool isBetweenRegions(const attempt_record &attempt) const
    {
        return m_vms[attempt.vm].location.region != m_runners[attempt.runner].location.region;
    }

    duration delay(const attempt_record &attempt) const
    {
        return delay(attempt.vm, attempt.runner);
    }

    duration delay(std::size_t vm, std::size_t runner) const
    {
        return m_vms[vm].location.region == m_runners[runner].location.region ? m_deployment.delayInRegion
                                                                              : m_deployment.delayBetweenRegions;
    }

    void startVms()
    {
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            apply(index, m_vms[index].vmKernel->start());
            m_vms[index].picker = m_vms[index].vmKernel->services().tryFind<runner_picker>();
            pollList(index);
            pollLoad(index);
            pollCache(index);
            // Different offsets per VM, so that their periodic work does not coincide.
            const auto offset = [this, index](duration interval) {
                return m_start + interval * (static_cast<int>(index) + 1) / static_cast<int>(m_vms.size());
            };
            schedule(offset(vmListInterval), scheduled_event_kind::poll_list, index);
            schedule(offset(m_deployment.loadInterval), scheduled_event_kind::poll_load, index);
            schedule(offset(m_deployment.cacheInterval), scheduled_event_kind::poll_cache, index);
            schedule(offset(m_deployment.exchangeInterval), scheduled_event_kind::exchange, index);
        }
    }

    void process(const scheduled_event &next)
    {
        switch (next.kind) {
        case scheduled_event_kind::arrival:
            receiveRequest(next.subject);
            return;
        case scheduled_event_kind::engine_wake:
            wakeEngine(next.subject, next.time);
            return;
        case scheduled_event_kind::vm_timer:
            if (m_vms[next.subject].timerAt == next.time) {
                m_vms[next.subject].timerAt = steady_time::max();
                handle(next.subject, timer_expired{});
            }
            return;
        case scheduled_event_kind::submit:
            submit(next.subject);
            return;
        case scheduled_event_kind::engine_cancel: {
            const attempt_record &attempt = m_attempts.at(next.subject);
            if (attempt.isAtEngine) {
                m_runners[attempt.runner].engine->cancel(next.subject, now());
                scheduleWake(attempt.runner);
            }
            m_attempts.erase(next.subject);
            return;
        }
        case scheduled_event_kind::token:
        case scheduled_event_kind::finished:
        case scheduled_event_kind::failed:
        case scheduled_event_kind::silence_check:
            deliver(next);
            return;
        case scheduled_event_kind::poll_load:
            pollLoad(next.subject);
            schedule(now() + m_deployment.loadInterval, scheduled_event_kind::poll_load, next.subject);
            return;
        case scheduled_event_kind::poll_cache:
            pollCache(next.subject);
            schedule(now() + m_deployment.cacheInterval, scheduled_event_kind::poll_cache, next.subject);
            return;
        case scheduled_event_kind::poll_list:
            pollList(next.subject);
            schedule(now() + vmListInterval, scheduled_event_kind::poll_list, next.subject);
            return;
        case scheduled_event_kind::exchange:
            exchange(next.subject);
            schedule(now() + m_deployment.exchangeInterval, scheduled_event_kind::exchange, next.subject);
            return;
        case scheduled_event_kind::change: {
            // Moved out before the call: it may schedule further changes, which reallocates m_changes.
            const std::function<void()> change = std::exchange(m_changes[next.subject], {});
            change();
            return;
        }
        }
    }

    void receiveRequest(std::size_t index)
    {
        const simulated_request &request = (*m_requests)[index];
        if (index + 1 < m_requests->size()) {
            schedule(m_start + (*m_requests)[index + 1].arrival, scheduled_event_kind::arrival, index + 1);
        }
        model_request received;
        received.request = request.id;
        received.callerKeyHash = request.callerKeyHash;
        received.service = m_deployment.service;
        received.kind = kind_id(m_workload.kinds[request.kind].id);
        received.promptTokens = request.promptTokens;
        if (!m_deployment.isCacheBlind) {
            received.prefixHashes = request.prefixHashes;
        }
        handle(request.vm, model_request_received{std::move(received)});
    }

    void handle(std::size_t vm, event event)
    {
        apply(vm, m_vms[vm].vmKernel->handle(std::move(event)));
    }

    void apply(std::size_t vm, const action_list &actions)
    {
        for (const action &action : actions) {
            std::visit([this, vm](const auto &content) { applyAction(vm, content); }, action);
        }
        vm_record &record = m_vms[vm];
        const steady_time deadline = record.vmKernel->nextDeadline();
        if (deadline != steady_time::max() && deadline < record.timerAt) {
            record.timerAt = std::max(deadline, now());
            schedule(record.timerAt, scheduled_event_kind::vm_timer, vm);
        }
    }

    template<typename other_action>
    void applyAction(std::size_t /*vm*/, const other_action & /*action*/)
    {
    }

    void applyAction(std::size_t vm, const start_attempt &start)
    {
        const std::uint64_t number = toGlobalNumber(vm, start.attempt);
        const std::size_t request = m_requestIndexes.at(start.request);
        attempt_record attempt;
        attempt.request = request;
        attempt.vm = vm;
        attempt.runner = m_runnerIndexes.at(start.runner.value());
        attempt.version = start.version;
        attempt.priority = start.priority;
        attempt.resumeFrom = start.resumeFrom;
        attempt.silenceLimit = start.silenceLimit;
        attempt.lastActivity = now();
        ++m_outcomes[request].attempts;
        ++m_attemptsStarted;
        if (isBetweenRegions(attempt)) {
            m_bytesBetweenRegions += bytesPerPromptToken * (*m_requests)[request].promptTokens;
        }
        schedule(now() + delay(attempt), scheduled_event_kind::submit, number);
        schedule(now() + attempt.silenceLimit, scheduled_event_kind::silence_check, number);
        m_attempts.emplace(number, std::move(attempt));
    }

    void applyAction(std::size_t vm, const cancel_attempt &cancel)
    {
        const std::uint64_t number = toGlobalNumber(vm, cancel.attempt);
        const auto found = m_attempts.find(number);
        if (found != m_attempts.end() && !found->second.isEnded) {
            found->second.isEnded = true;
            schedule(now() + delay(found->second), scheduled_event_kind::engine_cancel, number);
        }
    }

    void applyAction(std::size_t /*vm*/, const begin_answer &begin)
    {
        outcome(begin.request).version = begin.version;
    }

    void applyAction(std::size_t /*vm*/, const send_token &token)
    {
        request_outcome &answer = outcome(token.request);
        ++answer.tokens;
        if (!answer.firstToken) {
            answer.firstToken = sinceArrival(answer);
        }
    }

    void applyAction(std::size_t /*vm*/, const finish_answer &finish)
    {
        request_outcome &answer = outcome(finish.request);
        answer.end = sinceArrival(answer);
        answer.usage = finish.usage;
    }

    void applyAction(std::size_t /*vm*/, const refuse_request &refusal)
    {
        request_outcome &answer = outcome(refusal.request);
        answer.end = sinceArrival(answer);
        answer.error = refusal.error.code;
    }

    void applyAction(std::size_t vm, const watch_runners &watch)
    {
        m_vms[vm].watched.clear();
        for (const watch_runners::entry &entry : watch.runners) {
            m_vms[vm].watched.push_back(m_runnerIndexes.at(entry.runner.value()));
        }
    }

    duration peerDelay(std::size_t first, std::size_t second) const
    {
        return m_vms[first].location.region == m_vms[second].location.region ? m_deployment.delayInRegion
                                                                             : m_deployment.delayBetweenRegions;
    }

    void applyAction(std::size_t vm, const connect_peer &connect)
    {
        const std::size_t other = m_vmIndexes.at(connect.peer.value());
        at(now() - m_start + peerDelay(vm, other), [this, vm, other] {
            if (m_vms[vm].isIsolated || m_vms[other].isIsolated) {
                handle(vm, peer_disconnected{vm_id(m_vms[other].location.id)});
                return;
            }
            m_vms[vm].peers.insert(other);
            m_vms[other].peers.insert(vm);
            handle(vm, peer_connected{vm_id(m_vms[other].location.id)});
            handle(other, peer_connected{vm_id(m_vms[vm].location.id)});
        });
    }

    void applyAction(std::size_t vm, const disconnect_peer &disconnect)
    {
        m_vms[vm].peers.erase(m_vmIndexes.at(disconnect.peer.value()));
    }

    void applyAction(std::size_t vm, const send_to_peer &send)
    {
        const std::size_t other = m_vmIndexes.at(send.peer.value());
        at(now() - m_start + peerDelay(vm, other), [this, vm, other, message = send.message] {
            if (m_vms[other].peers.contains(vm) && !m_vms[vm].isIsolated && !m_vms[other].isIsolated) {
                handle(other, peer_message_received{vm_id(m_vms[vm].location.id), message});
            }
        });
    }

    static std::uint64_t toGlobalNumber(std::size_t vm, attempt_number attempt)
    {
        return (static_cast<std::uint64_t>(vm + 1) << attemptBits) | attempt;
    }

    static attempt_number toLocalNumber(std::uint64_t number)
    {
        return number & ((1ULL << attemptBits) - 1);
    }

    request_outcome &outcome(const request_id &request)
    {
        return m_outcomes[m_requestIndexes.at(request)];
    }

    duration sinceArrival(const request_outcome &answer) const
    {
        return now() - m_start - answer.arrival;
    }

    void submit(std::uint64_t number)
    {
        const auto found = m_attempts.find(number);
        if (found == m_attempts.end() || found->second.isEnded) {
            return;
        }
        attempt_record &attempt = found->second;
        runner_record &runner = m_runners[attempt.runner];
        if (runner.isDown) {
            attempt.failure = attempt_failure::not_sent;
            schedule(now() + delay(attempt), scheduled_event_kind::failed, number);
            return;
        }
        const simulated_request &request = (*m_requests)[attempt.request];
        engine_request submitted;
        submitted.id = number;
        submitted.version = attempt.version;
        submitted.priority = attempt.priority;
        submitted.promptTokens = request.promptTokens;
        submitted.answerTokens = request.answerTokens;
        submitted.resumeFrom = attempt.resumeFrom;
        submitted.contentHash = request.contentHash;
        submitted.prefixHashes = request.prefixHashes;
        if (runner.engine->submit(std::move(submitted), now()) != submit_result::accepted) {
            attempt.failure = attempt_failure::rejected;
            schedule(now() + delay(attempt), scheduled_event_kind::failed, number);
            return;
        }
        attempt.isAtEngine = true;
        scheduleWake(attempt.runner);
    }

    void scheduleWake(std::size_t runner)
    {
        runner_record &record = m_runners[runner];
        const steady_time next = record.engine->nextEventTime();
        if (next < record.wakeAt) {
            record.wakeAt = std::max(next, now());
            schedule(record.wakeAt, scheduled_event_kind::engine_wake, runner);
        }
    }

    void wakeEngine(std::size_t runner, steady_time time)
    {
        runner_record &record = m_runners[runner];
        if (record.wakeAt != time) {
            return;
        }
        record.wakeAt = steady_time::max();
        for (const engine_event &event : record.engine->advanceTo(now())) {
            const auto found = m_attempts.find(event.request);
            if (found == m_attempts.end()) {
                continue;
            }
            attempt_record &attempt = found->second;
            const steady_time arrival = now() + delay(attempt);
            if (event.kind == engine_event_kind::tokens) {
                schedule(arrival, scheduled_event_kind::token, event.request, event.index, event.count);
                continue;
            }
            attempt.isAtEngine = false;
            attempt.reason = event.reason;
            attempt.usage = event.usage;
            schedule(arrival, scheduled_event_kind::finished, event.request);
        }
        scheduleWake(runner);
    }

    void deliver(const scheduled_event &next)
    {
        const auto found = m_attempts.find(next.subject);
        if (found == m_attempts.end() || found->second.isEnded) {
            return;
        }
        attempt_record &attempt = found->second;
        const std::size_t vm = attempt.vm;
        const attempt_number number = toLocalNumber(next.subject);
        switch (next.kind) {
        case scheduled_event_kind::token:
            attempt.lastActivity = now();
            if (isBetweenRegions(attempt)) {
                m_bytesBetweenRegions += bytesPerOutputToken * next.count;
            }
            for (std::uint32_t offset = 0; offset < next.count; ++offset) {
                handle(vm, token_received{number, next.index + offset, {}});
            }
            return;
        case scheduled_event_kind::finished: {
            const attempt_finished finished{number, attempt.reason, attempt.usage};
            m_attempts.erase(found);
            handle(vm, finished);
            return;
        }
        case scheduled_event_kind::failed: {
            const attempt_failed failed{number, attempt.failure};
            m_attempts.erase(found);
            handle(vm, failed);
            return;
        }
        default:
            break;
        }
        if (attempt.lastActivity + attempt.silenceLimit > now()) {
            schedule(attempt.lastActivity + attempt.silenceLimit, scheduled_event_kind::silence_check, next.subject);
            return;
        }
        attempt.isEnded = true;
        schedule(now() + delay(attempt), scheduled_event_kind::engine_cancel, next.subject);
        handle(vm, attempt_failed{number, attempt_failure::connection_lost});
    }

    void pollLoad(std::size_t vm)
    {
        const std::vector<std::size_t> watched = m_vms[vm].watched;
        for (const std::size_t index : watched) {
            const runner_record &runner = m_runners[index];
            const runner_id id(runner.location.id);
            if (runner.isDown) {
                handle(vm, runner_unreachable{id});
                continue;
            }
            const engine_load_report report = runner.engine->loadReport(now());
            runner_load load;
            load.runner = id;
            load.slots = report.slots;
            load.slotsUsed = report.slotsUsed;
            load.queued = report.queued;
            load.versions.assign(report.versions.begin(), report.versions.end());
            load.age = report.age;
            load.state = report.isLeaving ? backend_state::leaving : backend_state::live;
            handle(vm, runner_load_reported{std::move(load)});
        }
    }

    void pollCache(std::size_t vm)
    {
        for (const std::size_t index : m_vms[vm].watched) {
            if (m_runners[index].isDown) {
                continue;
            }
            std::uint64_t &sequence = m_vms[vm].cacheSequence[index];
            cache_events_reported reported;
            reported.runner = runner_id(m_runners[index].location.id);
            for (const engine_cache_event &event : m_runners[index].engine->cacheEvents(sequence, now())) {
                reported.events.push_back({event.sequence, event.prefixHash, event.evicted});
                sequence = event.sequence + 1;
            }
            if (!reported.events.empty()) {
                handle(vm, std::move(reported));
            }
        }
    }

    void pollList(std::size_t vm)
    {
        vm_list_read list;
        for (const runner_record &runner : m_runners) {
            const bool isChangeShown = runner.changedAt + m_deployment.vmListLag <= now();
            const bool isShownDown = runner.isDown == isChangeShown && runner.changedAt != steady_time();
            if (isShownDown) {
                continue;
            }
            vm_entry entry;
            entry.id = runner.location.id;
            entry.role = vm_role::model;
            entry.service = m_deployment.service;
            entry.address = "address-" + runner.location.id;
            entry.availabilityZone = runner.location.availabilityZone;
            entry.region = runner.location.region;
            list.entries.push_back(std::move(entry));
        }
        for (const vm_record &entry : m_vms) {
            list.entries.push_back({entry.location.id,
                                    vm_role::entry,
                                    {},
                                    "address-" + entry.location.id,
                                    peerAddress(entry.location),
                                    entry.location.availabilityZone,
                                    entry.location.region,
                                    backend_state::live,
                                    false});
        }
        handle(vm, std::move(list));
    }

    void exchange(std::size_t vm)
    {
        // The plug-in membership exchanges runner use itself.
        if (!m_vms[vm].picker || m_vms[vm].vmKernel->services().tryFind<member_view>()) {
            return;
        }
        const vm_id from(m_vms[vm].location.id);
        const std::vector<runner_use> use = m_vms[vm].picker->localUse();
        at(now() - m_start + m_deployment.exchangeDelay, [this, vm, from, use] {
            for (std::size_t other = 0; other < m_vms.size(); ++other) {
                if (other != vm) {
                    m_vms[other].picker->setRemoteUse(from, use);
                }
            }
        });
    }

    const std::vector<simulated_request> *m_requests = nullptr;
    std::unordered_map<request_id, std::size_t> m_requestIndexes;
    std::unordered_map<std::string, std::size_t> m_runnerIndexes;
    std::unordered_map<std::string, std::size_t> m_vmIndexes;
    std::unordered_map<std::uint64_t, attempt_record> m_attempts;
    std::vector<std::function<void()>> m_changes;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, std::greater<>> m_scheduledEvents;
    std::uint64_t m_nextSequence = 0;
};

simulation::simulation(const deployment_parameters &deployment,
                       const workload_parameters &workload,
                       const plugin_setup &setup,
                       std::uint64_t seed)
    : m_implementation(std::make_unique<implementation>(deployment, workload, setup, seed))
{
}

simulation::~simulation() = default;

void simulation::run(const std::vector<simulated_request> &requests, duration length)
{
    m_implementation->run(requests, length);
}

void simulation::at(duration time, std::function<void()> change)
{
    m_implementation->at(time, std::move(change));
}

void simulation::failRunner(std::size_t runner)
{
    m_implementation->failRunner(runner);
}

void simulation::recoverRunner(std::size_t runner)
{
    m_implementation->recoverRunner(runner);
}

void simulation::isolateVm(std::size_t vm)
{
    m_implementation->setIsolated(vm, true);
}

void simulation::reconnectVm(std::size_t vm)
{
    m_implementation->setIsolated(vm, false);
}

engine_model &simulation::engine(std::size_t runner)
{
    return *m_implementation->m_runners[runner].engine;
}

kernel &simulation::vm(std::size_t vm)
{
    return *m_implementation->m_vms[vm].vmKernel;
}

std::size_t simulation::runnerCount() const
{
    return m_implementation->m_runners.size();
}

std::size_t simulation::vmCount() const
{
    return m_implementation->m_vms.size();
}

duration simulation::elapsed() const
{
    return m_implementation->now() - m_implementation->m_start;
}

const std::vector<request_outcome> &simulation::outcomes() const
{
    return m_implementation->m_outcomes;
}

std::uint64_t simulation::deliveredTokens() const
{
    std::uint64_t tokens = 0;
    for (const request_outcome &answer : outcomes()) {
        tokens += answer.tokens;
    }
    return tokens;
}

std::uint64_t simulation::attemptsStarted() const
{
    return m_implementation->m_attemptsStarted;
}

std::uint64_t simulation::bytesBetweenRegions() const
{
    return m_implementation->m_bytesBetweenRegions;
}

plugin_setup productSetup(const workload_parameters &workload, const std::vector<version_id> &versions)
{
    return [workload, versions](kernel &target, std::size_t /*vm*/) {
        target.add(std::make_unique<fixed_services>(workload, versions));
        target.add(makePlugin("routing"));
    };
}

std::vector<double> latencies(const simulation &run,
                              const std::function<bool(const request_outcome &)> &predicate,
                              double unansweredSeconds)
{
    std::vector<double> seconds;
    for (const request_outcome &answer : run.outcomes()) {
        if (predicate(answer)) {
            seconds.push_back(answer.end && !answer.error ? toSeconds(*answer.end) : unansweredSeconds);
        }
    }
    return seconds;
}

double extraWork(const simulation &run)
{
    double needed = 0.0;
    for (const request_outcome &answer : run.outcomes()) {
        if (answer.end && !answer.error) {
            needed += answer.tokens + prefillShare * (answer.usage.promptTokens - answer.usage.cachedPromptTokens);
        }
    }
    double performed = 0.0;
    auto &mutableRun = const_cast<simulation &>(run);
    for (std::size_t runner = 0; runner < run.runnerCount(); ++runner) {
        const engine_totals &totals = mutableRun.engine(runner).totals();
        performed +=
            static_cast<double>(totals.generatedTokens) + prefillShare * static_cast<double>(totals.prefilledTokens);
    }
    return needed > 0.0 ? performed / needed - 1.0 : 0.0;
}

} // namespace crocuslane
