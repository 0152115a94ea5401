#include "simulated_fleet.h"

#include "plugins/membership/peer_topology.h"

#include <algorithm>

namespace crocuslane {

/// Definition for the tests: the decision code only passes pointers to answers on to actions.
class runner_answer
{
};

namespace {

constexpr std::chrono::milliseconds stepTime{10};
// A runner with the crashing part ends when it begins to write the answer.
constexpr std::chrono::milliseconds answerBegin{60};
constexpr std::chrono::milliseconds eventInterval{40};
constexpr std::uint64_t eventsPerAnswer = 8;
// Time after which a crashed runner's entry is removed, and another one is listed.
constexpr std::chrono::seconds entryLifetime{3};
constexpr std::chrono::seconds restartTime{3};
constexpr std::chrono::milliseconds repeatDelay{100};
constexpr std::uint32_t tokensPerPart = 100;
constexpr std::chrono::milliseconds messageDelay{40};
constexpr std::chrono::milliseconds messageDelayJitter{60};

class silent_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

class fake_members : public member_view
{
public:
    entry_advice advice() const override
    {
        return {};
    }

    std::vector<member_info> members() const override
    {
        std::vector<member_info> list;
        for (const vm_id &id : all) {
            member_info info;
            info.id = id;
            info.isSelf = id == self;
            info.lastContactAge = isAlone && !info.isSelf ? std::chrono::hours(1) : duration::zero();
            list.push_back(info);
        }
        return list;
    }

    bool hasContactWithMajority(duration /*limit*/) const override
    {
        return !isAlone;
    }

    const std::vector<vm_entry> &backendServers() const override
    {
        return none;
    }

    std::vector<vm_id> connectedPeers() const override
    {
        const std::set<vm_id> peers = neighbours(self, all);
        return {peers.begin(), peers.end()};
    }

    std::optional<steady_time> earliestSendTime(const vm_id & /*peer*/) const override
    {
        return std::nullopt;
    }

    std::optional<std::string> regionOf(const vm_id & /*peer*/) const override
    {
        return std::nullopt;
    }

    vm_id self;
    bool isAlone = false;
    std::set<vm_id> all;
    std::vector<vm_entry> none;
};

constexpr std::string_view vmPrefix = "vm-";

vm_id idOf(std::size_t number)
{
    return vm_id(std::string(vmPrefix) + std::to_string(number));
}

std::size_t numberOf(const vm_id &id)
{
    return std::stoul(id.value().substr(vmPrefix.size()));
}

} // namespace

struct simulated_fleet::vm {
    vm(const clock &time, std::size_t number, std::uint64_t incarnation)
        : random(number + incarnation * 1000)
        , decisions({time, random, {idOf(number), incarnation, "zone", "region", "", ""}, {}, timeline})
    {
    }

    seeded_random random;
    silent_timeline timeline;
    fake_members members;
    kernel decisions;
    std::uint64_t incarnation = 1;
};

struct simulated_fleet::attempt {
    std::size_t vm = 0;
    attempt_number number = 0;
    std::string runner;
    std::uint64_t part = 0;
    bool isCrashing = false;
    steady_time started;
    std::uint64_t events = 0;
    bool isLost = false;
};

struct simulated_fleet::message {
    steady_time at;
    std::size_t to = 0;
    vm_id from;
    peer_message content;
};

simulated_fleet::simulated_fleet(std::size_t vmCount, std::size_t runnerCount)
    : m_configuration(std::make_shared<forward_configuration>())
{
    forward_route route;
    route.name = "answer";
    route.host = "models.example";
    route.pathPrefix = "/answer/";
    route.kind = route_kind::resumable_stream;
    route.timeout = std::chrono::seconds(10);
    route.objective = std::chrono::seconds(2);
    route.eventInterval = std::chrono::milliseconds(500);
    route.maximumAttempts = 3;
    route.isAnonymous = true;
    route.services = {{service_id("model"), 1.0}};
    m_configuration->version = 1;
    m_configuration->routes.push_back(route);
    forward_service service;
    service.id = service_id("model");
    constexpr unsigned slots = 64;
    constexpr std::uint64_t kvCacheTokens = 1'000'000;
    service.engine = engine_description{slots, kvCacheTokens, 1};
    m_configuration->services.push_back(service);
    for (std::size_t count = 0; count < runnerCount; ++count) {
        m_starts.push_back(now());
    }
    m_vms.resize(vmCount);
    for (std::size_t number = 0; number < vmCount; ++number) {
        start(number);
    }
    updateRunners();
}

simulated_fleet::~simulated_fleet() = default;

void simulated_fleet::start(std::size_t number)
{
    const std::uint64_t incarnation = m_vms[number] ? m_vms[number]->incarnation + 1 : 1;
    m_vms[number] = std::make_unique<vm>(m_clock, number, incarnation);
    vm &started = *m_vms[number];
    started.incarnation = incarnation;
    started.members.self = idOf(number);
    for (std::size_t other = 0; other < m_vms.size(); ++other) {
        started.members.all.insert(idOf(other));
    }
    started.decisions.services().offer<member_view>(started.members);
    started.decisions.addRegistered({"forwarding"});
    apply(number, started.decisions.start());
    handle(number, forward_configuration_read{m_configuration});
    sendList(number);
}

void simulated_fleet::restart(std::size_t number)
{
    std::erase_if(m_attempts, [number](const attempt &each) { return each.vm == number; });
    start(number);
    for (const vm_id &peer : m_vms[number]->members.connectedPeers()) {
        handle(number, peer_connected{peer});
        handle(numberOf(peer), peer_connected{idOf(number)});
    }
}

void simulated_fleet::setLimit(std::size_t count, std::optional<double> requestsPerSecond)
{
    m_limit = requestsPerSecond;
    m_limited.clear();
    for (const std::string &runner : m_running) {
        if (m_limited.size() < count) {
            m_limited.insert(runner);
        }
    }
}

void simulated_fleet::setCut(std::size_t vm, bool isCut)
{
    if (isCut) {
        m_cut.insert(vm);
    } else {
        m_cut.erase(vm);
    }
    m_vms[vm]->members.isAlone = isCut;
}

void simulated_fleet::setFrozen(std::size_t vm, bool isFrozen)
{
    if (isFrozen) {
        m_frozen.insert(vm);
    } else {
        m_frozen.erase(vm);
    }
}

void simulated_fleet::setLostAnswers(double share)
{
    m_lostAnswers = share;
}

void simulated_fleet::setCrashing(bool isCrashing)
{
    m_isCrashing = isCrashing;
}

void simulated_fleet::endRandomRunner()
{
    if (!m_running.empty()) {
        crash(*std::next(m_running.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_running.size()))));
    }
}

void simulated_fleet::send(std::size_t number, std::uint64_t part)
{
    const std::uint64_t own = m_requests + 1'000'001;
    known_request request;
    request.content.prompt = {{sharedPart, tokensPerPart}, {part, tokensPerPart}, {own, tokensPerPart}};
    request.content.promptTokens = 3 * tokensPerPart;
    request.content.fingerprint = own;
    request.part = part;
    request.isCrashing = part == crashingPart;
    sendKnown(number, request);
}

void simulated_fleet::sendCrashingRequest(std::size_t number, std::optional<std::uint64_t> part)
{
    known_request request;
    if (part) {
        request.content.prompt = {{sharedPart, tokensPerPart}, {*part, tokensPerPart}, {1, tokensPerPart}};
        request.content.promptTokens = 3 * tokensPerPart;
    }
    request.content.fingerprint = crashingFingerprint;
    request.part = part.value_or(0);
    request.isCrashing = true;
    sendKnown(number, request);
}

void simulated_fleet::sendKnown(std::size_t number, known_request request)
{
    request.content.request = request_id("r" + std::to_string(++m_requests));
    request.content.host = "models.example";
    request.content.path = "/answer/x";
    m_known[request.content.request.value()] = request;
    handle(number, forward_received{request.content});
}

// Callers repeat a failed request once, at any VM.
void simulated_fleet::repeatFailed()
{
    while (!m_repeats.empty() && m_repeats.front().at <= now()) {
        known_request request = m_repeats.front().request;
        m_repeats.pop_front();
        request.isRepeated = true;
        sendKnown(m_random.below(m_vms.size()), request);
    }
}

void simulated_fleet::refused(std::size_t number, const refuse_forward &action)
{
    ++m_refusals[action.reason][number];
    const known_request &request = m_known[action.request.value()];
    if (request.isCrashing) {
        return;
    }
    const bool isIsolated =
        action.reason == refusal_reason::prompt_part_isolated || action.reason == refusal_reason::request_isolated;
    m_refusedSoundRequests += isIsolated ? 1 : 0;
    if (action.reason != refusal_reason::attempts_exhausted_may_have_run) {
        return;
    }
    if (request.isRepeated) {
        ++m_failedSoundRequests;
    } else {
        m_repeats.push_back({now() + repeatDelay, request});
    }
}

void simulated_fleet::run(duration time)
{
    const steady_time end = now() + time;
    while (now() < end) {
        step();
    }
}

void simulated_fleet::step()
{
    m_clock.advance(stepTime);
    updateRunners();
    const auto isDue = [this](const message &each) { return each.at <= now() && !m_frozen.contains(each.to); };
    std::vector<message> due;
    std::copy_if(m_messages.begin(), m_messages.end(), std::back_inserter(due), isDue);
    std::erase_if(m_messages, isDue);
    for (const message &each : due) {
        handle(each.to, peer_message_received{each.from, each.content});
    }
    progress();
    repeatFailed();
    for (std::size_t number = 0; number < m_vms.size(); ++number) {
        if (!m_frozen.contains(number) && m_vms[number]->decisions.nextDeadline() <= now()) {
            handle(number, timer_expired{});
        }
    }
}

void simulated_fleet::handle(std::size_t number, event event)
{
    apply(number, m_vms[number]->decisions.handle(std::move(event)));
}

void simulated_fleet::apply(std::size_t number, const action_list &actions)
{
    for (const action &each : actions) {
        if (const auto *started = std::get_if<start_forward>(&each)) {
            startForward(number, *started);
        } else if (const auto *cancelled = std::get_if<cancel_attempt>(&each)) {
            std::erase_if(m_attempts, [&](const attempt &candidate) {
                return candidate.vm == number && candidate.number == cancelled->attempt;
            });
        } else if (const auto *refused = std::get_if<refuse_forward>(&each)) {
            this->refused(number, *refused);
        } else if (const auto *line = std::get_if<log_decision>(&each)) {
            ++m_logLines[std::string(line->event)];
        } else if (const auto *sent = std::get_if<send_to_peer>(&each)) {
            if (const auto *evidence = std::get_if<crash_evidence>(&sent->message)) {
                m_largestMessage = std::max(m_largestMessage, evidence->parts.size() + evidence->runners.size());
            }
            sendToPeer(number, *sent);
        }
    }
}

void simulated_fleet::sendToPeer(std::size_t number, const send_to_peer &action)
{
    const std::size_t receiver = numberOf(action.peer);
    if (m_cut.contains(number) || m_cut.contains(receiver)) {
        return;
    }
    const duration delay = messageDelay + m_random.below(messageDelayJitter.count()) * std::chrono::milliseconds(1);
    m_messages.push_back({now() + delay, receiver, idOf(number), action.message});
}

void simulated_fleet::startForward(std::size_t number, const start_forward &action)
{
    attempt started;
    started.vm = number;
    started.number = action.attempt;
    started.runner = action.runner.value();
    started.part = m_known[action.request.value()].part;
    started.isCrashing = m_known[action.request.value()].isCrashing;
    started.started = now();
    const bool losesAnswers = (started.runner.back() - '0') % 5 < 3;
    started.isLost = !started.isCrashing && losesAnswers && m_random.unit() < m_lostAnswers;
    if (m_running.contains(started.runner)) {
        m_sent.push_back({now(), number, started.isCrashing, started.runner});
    }
    m_attempts.push_back(started);
}

void simulated_fleet::progress()
{
    // Handling an event may start or cancel attempts.
    const std::vector<attempt> inProgress = m_attempts;
    for (const attempt &copy : inProgress) {
        const auto found = std::find_if(m_attempts.begin(), m_attempts.end(), [&copy](const attempt &each) {
            return each.vm == copy.vm && each.number == copy.number;
        });
        if (found == m_attempts.end() || m_frozen.contains(copy.vm)) {
            continue;
        }
        const auto end = [&](const event &event) {
            m_attempts.erase(found);
            handle(copy.vm, event);
        };
        if (!m_running.contains(copy.runner)) {
            end(forward_failed{copy.number, attempt_failure::not_sent});
        } else if (now() < copy.started + answerBegin + copy.events * eventInterval) {
            continue;
        } else if (copy.isCrashing && m_isCrashing) {
            crash(copy.runner);
        } else if (copy.isLost) {
            end(forward_failed{copy.number, attempt_failure::connection_lost});
        } else if (copy.events == eventsPerAnswer) {
            ++m_answered[copy.part];
            end(forward_completed{copy.number, nullptr});
        } else {
            ++found->events;
            if (copy.events == 0) {
                forward_answer_head head;
                head.status = 200;
                head.isGenuine = true;
                head.isEventStream = true;
                if (m_limited.contains(copy.runner)) {
                    head.rateLimit.requestsPerSecond = m_limit;
                }
                handle(copy.vm, forward_head_received{copy.number, head, nullptr});
            }
            handle(copy.vm, forward_event_received{copy.number, copy.events + 1, true, "data"});
        }
    }
}

void simulated_fleet::crash(std::string runner)
{
    m_crashes.push_back(now());
    m_running.erase(runner);
    m_listed[runner] = now() + entryLifetime;
    m_starts.push_back(now() + restartTime);
    std::vector<attempt> lost;
    std::copy_if(m_attempts.begin(), m_attempts.end(), std::back_inserter(lost), [&runner](const attempt &each) {
        return each.runner == runner;
    });
    std::erase_if(m_attempts, [&runner](const attempt &each) { return each.runner == runner; });
    for (const attempt &each : lost) {
        handle(each.vm, forward_failed{each.number, attempt_failure::connection_lost});
    }
}

void simulated_fleet::updateRunners()
{
    bool hasChanged =
        std::erase_if(m_listed, [this](const auto &each) { return each.second && *each.second <= now(); }) > 0;
    while (!m_starts.empty() && m_starts.front() <= now()) {
        m_starts.pop_front();
        const std::string id = "runner-" + std::to_string(++m_runnerNumber);
        m_running.insert(id);
        m_listed[id] = std::nullopt;
        hasChanged = true;
    }
    if (hasChanged) {
        for (std::size_t number = 0; number < m_vms.size(); ++number) {
            sendList(number);
        }
    }
}

void simulated_fleet::sendList(std::size_t number)
{
    backend_list_read list;
    for (const auto &[id, removedAt] : m_listed) {
        backend_entry entry;
        entry.id = runner_id(id);
        entry.service = service_id("model");
        entry.address = id + ":80";
        entry.availabilityZone = "zone";
        entry.version = "v1";
        entry.slots = 64;
        entry.startedUnixMilliseconds = 1;
        list.entries.push_back(entry);
    }
    handle(number, list);
}

steady_time simulated_fleet::now() const
{
    return m_clock.steadyNow();
}

std::size_t simulated_fleet::vmCount() const
{
    return m_vms.size();
}

const std::vector<steady_time> &simulated_fleet::crashes() const
{
    return m_crashes;
}

std::size_t simulated_fleet::crashingRequestsSentAfter(steady_time time) const
{
    return static_cast<std::size_t>(std::count_if(
        m_sent.begin(), m_sent.end(), [time](const sent_request &each) { return each.isCrashing && each.at > time; }));
}

std::size_t
simulated_fleet::mostArrivalsAtLimited(steady_time from, duration window, const std::set<std::size_t> &excused) const
{
    std::size_t most = 0;
    for (const std::string &runner : m_limited) {
        std::deque<steady_time> inWindow;
        for (const sent_request &each : m_sent) {
            if (each.runner != runner || each.at <= from || excused.contains(each.vm)) {
                continue;
            }
            inWindow.push_back(each.at);
            while (each.at - inWindow.front() >= window) {
                inWindow.pop_front();
            }
            most = std::max(most, inWindow.size());
        }
    }
    return most;
}

std::size_t simulated_fleet::arrivalsAtLimitedAfter(steady_time time) const
{
    return static_cast<std::size_t>(std::count_if(m_sent.begin(), m_sent.end(), [&](const sent_request &each) {
        return each.at > time && m_limited.contains(each.runner);
    }));
}

std::map<std::size_t, std::size_t> simulated_fleet::refusals(refusal_reason reason) const
{
    const auto found = m_refusals.find(reason);
    return found == m_refusals.end() ? std::map<std::size_t, std::size_t>() : found->second;
}

void simulated_fleet::clearRefusals()
{
    m_refusals.clear();
}

std::size_t simulated_fleet::answered(std::uint64_t part) const
{
    const auto found = m_answered.find(part);
    return found == m_answered.end() ? 0 : found->second;
}

std::size_t simulated_fleet::refusedSoundRequests() const
{
    return m_refusedSoundRequests;
}

std::size_t simulated_fleet::failedSoundRequests() const
{
    return m_failedSoundRequests;
}

std::size_t simulated_fleet::largestMessage() const
{
    return m_largestMessage;
}

std::size_t simulated_fleet::logLines(std::string_view event) const
{
    const auto found = m_logLines.find(event);
    return found == m_logLines.end() ? 0 : found->second;
}

} // namespace crocuslane
