#include "plugins/forwarding/crash_suspects.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::chrono::milliseconds checkInterval{100};
constexpr std::chrono::milliseconds sendInterval{250};
// A runner that ends this close to the end of an attempt may have ended by it.
constexpr std::chrono::milliseconds cancelledCrashTime{500};
constexpr std::size_t maximumCancelled = 1024;
// Whether a runner ended shows within this time after a loss.
constexpr std::chrono::seconds crashCheckTime{7};
constexpr std::size_t maximumPartsPerMessage = 24;
constexpr std::size_t maximumRequestsPerMessage = 24;
constexpr std::size_t maximumRunnersPerMessage = 32;
constexpr std::size_t maximumLogLines = 64;
// An answer is under way once this many of its events have arrived. The first may arrive although its runner ends.
constexpr unsigned eventsUnderWay = 3;
constexpr unsigned maximumEventsOfLoss = 1;
constexpr std::chrono::milliseconds maximumTimeSinceFirstEvent{500};
constexpr std::chrono::milliseconds soundNoteInterval{200};
// Runners that one request may take down while its prompt is suspected.
constexpr unsigned maximumLostRunnersOfSuspect = 2;
constexpr suspect_log_names partNames{
    "part", "prompt_part_suspected", "prompt_part_isolated", "prompt_part_probed", "prompt_part_released"};
constexpr suspect_log_names requestNames{
    "fingerprint", "request_suspected", "request_isolated", "request_probed", "request_released"};

std::uint64_t hashOf(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

/// Calls @p visit with the id and position of each part but the last.
template<typename visitor>
void forSharedParts(const std::vector<prompt_part> &prompt, visitor visit)
{
    for (std::size_t position = 0; position + 1 < prompt.size(); ++position) {
        visit(prompt[position].id, static_cast<unsigned>(position));
    }
}

void addRequests(crash_evidence &evidence, std::vector<crash_evidence::part> requests)
{
    for (crash_evidence::part &request : requests) {
        request.isRequest = true;
        evidence.parts.push_back(std::move(request));
    }
}

std::chrono::milliseconds ageOf(steady_time time, steady_time now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(now - time, duration::zero()));
}

} // namespace

crash_suspects::crash_suspects(environment environment)
    : m_environment(std::move(environment))
    , m_parts({m_environment.time, m_environment.self, m_environment.members, &m_runners}, partNames, partThresholds)
    , m_requests(
          {m_environment.time, m_environment.self, m_environment.members, &m_runners}, requestNames, requestThresholds)
{
}

steady_time crash_suspects::now() const
{
    return m_environment.time->steadyNow();
}

runner_key crash_suspects::keyOf(const runner_id &runner) const
{
    const auto found = m_startTimes.find(runner);
    return crocuslane::keyOf(runner, found == m_startTimes.end() ? 0 : found->second);
}

crash_suspects::verdict crash_suspects::judge(const forward_request &request)
{
    const std::optional<refusal_reason> reason = isolation(request);
    if (!reason) {
        return verdict::allowed;
    }
    std::optional<suspect_id> isolatedPart;
    bool mayProbe = m_requests.noteRefusal(request.fingerprint);
    forSharedParts(request.prompt, [&](suspect_id part, unsigned /*position*/) {
        if (m_parts.isIsolated(part)) {
            mayProbe = m_parts.noteRefusal(part) && mayProbe;
            isolatedPart = part;
        }
    });
    if (!mayProbe) {
        return *reason == refusal_reason::request_isolated ? verdict::request_isolated : verdict::part_isolated;
    }
    m_requests.noteProbe(request.fingerprint);
    if (isolatedPart) {
        m_parts.noteProbe(*isolatedPart);
    }
    m_nextSend = now();
    return verdict::probe;
}

std::optional<refusal_reason> crash_suspects::isolation(const forward_request &request) const
{
    if (m_requests.isIsolated(request.fingerprint)) {
        return refusal_reason::request_isolated;
    }
    bool hasIsolatedPart = false;
    forSharedParts(request.prompt, [&](suspect_id part, unsigned /*position*/) {
        hasIsolatedPart = hasIsolatedPart || m_parts.isIsolated(part);
    });
    return hasIsolatedPart ? std::optional(refusal_reason::prompt_part_isolated) : std::nullopt;
}

bool crash_suspects::mayRepeat(const forward_request &request, unsigned lostRunners) const
{
    if (isolation(request) || m_requests.isSuspect(request.fingerprint)) {
        return false;
    }
    bool isSuspect = false;
    if (lostRunners >= maximumLostRunnersOfSuspect) {
        forSharedParts(request.prompt, [&](suspect_id part, unsigned /*position*/) {
            isSuspect = isSuspect || m_parts.isSuspect(part);
        });
    }
    return !isSuspect;
}

void crash_suspects::attemptStarted(attempt_number number, const forward_request &request, const runner_id &runner)
{
    if (request.prompt.size() < 2 && request.fingerprint == 0) {
        return;
    }
    attempt started;
    started.prompt = request.prompt;
    started.runner = runner;
    started.key = keyOf(runner);
    started.fingerprint = request.fingerprint;
    started.request = static_cast<std::uint32_t>(hashOf(request.request.value()));
    m_runners.attemptStarted(number, started.key, now());
    m_attempts[number] = std::move(started);
}

crash_suspects::attempt *crash_suspects::find(attempt_number number)
{
    const auto found = m_attempts.find(number);
    return found == m_attempts.end() ? nullptr : &found->second;
}

void crash_suspects::noteSignOfLife(const attempt &attempt)
{
    if (m_runners.noteSignOfLife(attempt.key, now())) {
        m_parts.eraseLosses(attempt.key);
        m_requests.eraseLosses(attempt.key);
    }
}

void crash_suspects::headReceived(attempt_number number)
{
    if (const attempt *found = find(number)) {
        noteSignOfLife(*found);
    }
}

void crash_suspects::eventReceived(attempt_number number)
{
    attempt *found = find(number);
    if (found == nullptr) {
        return;
    }
    noteSignOfLife(*found);
    if (found->events == 0) {
        found->firstEventAt = now();
    }
    ++found->events;
    if (found->events < eventsUnderWay) {
        return;
    }
    if (found->events == eventsUnderWay || now() - found->soundNotedAt >= soundNoteInterval) {
        found->soundNotedAt = now();
        noteSound(*found);
    }
}

bool crash_suspects::connectionLost(attempt_number number)
{
    const attempt *found = find(number);
    if (found == nullptr) {
        return false;
    }
    m_runners.attemptLost(found->key, now());
    m_checkUntil = now() + crashCheckTime;
    const bool isUnderWay = found->events > maximumEventsOfLoss
        || (found->events > 0 && now() - found->firstEventAt > maximumTimeSinceFirstEvent);
    if (isUnderWay) {
        return false;
    }
    if (found->fingerprint != 0) {
        m_requests.addLoss(found->fingerprint, 0, {found->key, found->request, now()});
    }
    // One request that comes again under other ids is no proof against its parts.
    const std::uint32_t request =
        found->fingerprint == 0 ? found->request : static_cast<std::uint32_t>(found->fingerprint);
    forSharedParts(found->prompt, [&](suspect_id part, unsigned position) {
        m_parts.addLoss(part, position, {found->key, request, now()});
    });
    return true;
}

void crash_suspects::answered(attempt_number number, bool isStream)
{
    const attempt *found = find(number);
    // A stream without a length may end with its runner and look complete.
    if (found != nullptr && isStream && found->events == 0) {
        connectionLost(number);
        return;
    }
    if (found != nullptr && (!isStream || found->events > maximumEventsOfLoss)) {
        noteSignOfLife(*found);
        noteSound(*found);
    }
}

void crash_suspects::attemptEnded(attempt_number number, attempt_end end)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end()) {
        return;
    }
    m_runners.attemptEnded(number, found->second.key);
    const attempt &ended = found->second;
    if (end == attempt_end::not_sent) {
        m_runners.connectionRefused(ended.key, now());
    } else if (end == attempt_end::cancelled && ended.fingerprint != 0 && ended.events <= maximumEventsOfLoss) {
        m_cancelled.push_back({ended.key, ended.fingerprint, ended.request, now()});
        if (m_cancelled.size() > maximumCancelled) {
            m_cancelled.pop_front();
        }
    }
    m_attempts.erase(found);
}

void crash_suspects::noteSound(const attempt &attempt)
{
    if (attempt.fingerprint != 0) {
        m_requests.addSound(attempt.fingerprint, now());
    }
    forSharedParts(attempt.prompt, [&](suspect_id part, unsigned /*position*/) { m_parts.addSound(part, now()); });
}

void crash_suspects::setListed(const backend_list_read &list)
{
    m_startTimes.clear();
    std::set<runner_key> listed;
    for (const backend_entry &entry : list.entries) {
        m_startTimes[entry.id] = entry.startedUnixMilliseconds;
        listed.insert(keyOf(entry.id));
    }
    // While removals are ignored, a missing entry says nothing.
    if (now() >= list.removalsIgnoredUntil) {
        m_runners.setListed(listed, now());
    }
}

void crash_suspects::merge(const crash_evidence &evidence)
{
    for (const crash_evidence::crashed_runner &runner : evidence.runners) {
        if (m_runners.addCrash(runner.runner, now() - runner.age)) {
            m_changedRunners.insert(runner.runner);
        }
    }
    for (const crash_evidence::part &part : evidence.parts) {
        for (const crash_evidence::lost_attempt &loss : part.losses) {
            m_runners.attemptLostElsewhere(loss.runner, now() - loss.age);
            m_checkUntil = now() + crashCheckTime;
        }
        (part.isRequest ? m_requests : m_parts).merge(part);
    }
}

void crash_suspects::peerConnected(const vm_id &peer, action_list &actions)
{
    crash_evidence evidence;
    evidence.parts = m_parts.describeIsolated();
    addRequests(evidence, m_requests.describeIsolated());
    if (!evidence.parts.empty()) {
        actions.push_back(send_to_peer{peer, std::move(evidence)});
    }
}

void crash_suspects::expire(action_list &actions)
{
    if (now() >= m_nextCheck) {
        m_nextCheck = now() + checkInterval;
        m_runners.expire(now());
        detectCrashes();
        countCancelled();
        m_parts.check();
        m_requests.check();
        send(actions);
    }
    std::move(m_log.begin(), m_log.end(), std::back_inserter(actions));
    m_log.clear();
    for (suspect_group *group : {&m_parts, &m_requests}) {
        const std::vector<log_decision> lines = group->takeLog();
        actions.insert(actions.end(), lines.begin(), lines.end());
    }
}

// A request may crash its runner with the first part of its answer, which is enough to cancel the attempt and ask a
// larger model.
void crash_suspects::countCancelled()
{
    while (!m_cancelled.empty() && now() - m_cancelled.front().at > crashCheckTime) {
        m_cancelled.pop_front();
    }
    std::erase_if(m_cancelled, [this](const cancelled_attempt &each) {
        const std::optional<steady_time> crash = m_runners.crashTime(each.runner);
        if (!crash || *crash < each.at - cancelledCrashTime || *crash > each.at + cancelledCrashTime) {
            return false;
        }
        m_requests.addLoss(each.fingerprint, 0, {each.runner, each.request, *crash});
        return true;
    });
}

void crash_suspects::detectCrashes()
{
    for (const runner_crash_detector::detected_crash &crash : m_runners.detect(now())) {
        m_changedRunners.insert(crash.runner);
        if (m_log.size() < maximumLogLines) {
            m_log.push_back(log_decision{
                "runner_crash_detected",
                {},
                {{"runner_key", fmt::format("{:x}", crash.runner)}, {"evidence", std::string(toName(crash.reason))}}});
        }
    }
}

void crash_suspects::send(action_list &actions)
{
    if (now() < m_nextSend) {
        return;
    }
    crash_evidence evidence;
    evidence.parts = m_parts.takeChanges(maximumPartsPerMessage);
    addRequests(evidence, m_requests.takeChanges(maximumRequestsPerMessage));
    while (!m_changedRunners.empty() && evidence.runners.size() < maximumRunnersPerMessage) {
        const runner_key runner = *m_changedRunners.begin();
        m_changedRunners.erase(m_changedRunners.begin());
        if (const std::optional<steady_time> at = m_runners.crashTime(runner)) {
            evidence.runners.push_back({runner, ageOf(*at, now())});
        }
    }
    if (evidence.parts.empty() && evidence.runners.empty()) {
        return;
    }
    m_nextSend = now() + sendInterval;
    if (m_environment.members == nullptr) {
        return;
    }
    for (const vm_id &peer : m_environment.members->connectedPeers()) {
        actions.push_back(send_to_peer{peer, evidence});
    }
}

steady_time crash_suspects::nextDeadline() const
{
    const bool isActive = !m_log.empty() || !m_changedRunners.empty() || m_parts.isActive() || m_requests.isActive()
        || now() < m_checkUntil;
    return isActive ? m_nextCheck : steady_time::max();
}

bool crash_suspects::takeIsolationsAdded()
{
    const bool hasParts = m_parts.takeIsolationsAdded();
    return m_requests.takeIsolationsAdded() || hasParts;
}

void crash_suspects::describe(nlohmann::json &status) const
{
    for (const suspect_id part : m_parts.isolated()) {
        status["isolated_parts"].push_back(fmt::format("{:x}", part));
    }
    status["isolated_requests"] = m_requests.isolated().size();
}

} // namespace crocuslane
