#include "plugins/forwarding/crash_suspects.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::chrono::milliseconds checkInterval{100};
constexpr std::chrono::milliseconds sendInterval{250};
// Whether a runner ended shows within this time after a loss.
constexpr std::chrono::seconds crashCheckTime{7};
// A part that is answered often has its losses cleared within this time, and they need not be sent.
constexpr std::chrono::milliseconds lossSendDelay{200};
// A new connection, or a VM that has restarted, has the isolated parts after this time at the latest.
constexpr std::chrono::seconds repetitionInterval{5};
constexpr std::size_t maximumPartsPerMessage = 24;
constexpr std::size_t maximumRunnersPerMessage = 32;
constexpr std::size_t maximumChangedParts = 512;
constexpr std::size_t maximumLoggedSuspects = 256;
constexpr std::size_t maximumLogLines = 64;
// An answer is under way once this many of its events have arrived. The first may arrive although its runner ends.
constexpr unsigned eventsUnderWay = 3;
constexpr unsigned maximumEventsOfLoss = 1;
constexpr std::chrono::milliseconds maximumTimeSinceFirstEvent{500};
constexpr std::chrono::milliseconds soundNoteInterval{200};
// The first probe is sent this long after the isolation; each following interval is three times as long.
constexpr std::chrono::seconds firstProbeDelay{30};
constexpr std::chrono::seconds maximumProbeInterval{600};
constexpr int probeIntervalGrowth = 3;
// At first one VM may probe; their number doubles with each slot, since a VM may have no request with the part. The
// margins leave time for the news of a probe.
constexpr std::chrono::seconds probeSlot{6};
constexpr std::chrono::seconds probeSlotMargin{2};
constexpr std::int64_t maximumProberDoublings = 12;
constexpr std::chrono::seconds maximumContactAge{5};
// Runners that one request may take down while its prompt is suspected.
constexpr unsigned maximumLostRunnersOfSuspect = 2;
// Reports of the last refusal that differ by less are the same, delayed in transit.
constexpr std::chrono::seconds refusalInaccuracy{1};

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

std::chrono::milliseconds ageOf(steady_time time, steady_time now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(now - time, duration::zero()));
}

/// When the next probe is due, after @p probes probes.
steady_time probeTime(const suspect_table::isolation &isolation)
{
    std::chrono::seconds interval = firstProbeDelay;
    steady_time due = isolation.since + interval;
    for (unsigned probe = 0; probe < isolation.probes; ++probe) {
        interval = std::min(interval * probeIntervalGrowth, maximumProbeInterval);
        due += interval;
    }
    return due;
}

} // namespace

crash_suspects::crash_suspects(environment environment)
    : m_environment(std::move(environment))
{
}

steady_time crash_suspects::now() const
{
    return m_environment.time->steadyNow();
}

suspect_table::crash_check crash_suspects::crashCheck() const
{
    return [this](const suspect_table::loss &loss) { return m_runners.hasCrashed(loss.runner, loss.at); };
}

runner_key crash_suspects::keyOf(const runner_id &runner) const
{
    const auto found = m_startTimes.find(runner);
    return crocuslane::keyOf(runner, found == m_startTimes.end() ? 0 : found->second);
}

crash_suspects::verdict crash_suspects::judge(const std::vector<prompt_part> &prompt)
{
    suspect_table::isolation *isolation = nullptr;
    part_id isolatedPart = 0;
    bool isAllowed = true;
    forSharedParts(prompt, [&](part_id part, unsigned /*position*/) {
        if (suspect_table::isolation *found = m_parts.findIsolation(part)) {
            found->lastRefusal = now();
            isAllowed = isAllowed && mayProbe(part, *found);
            isolation = found;
            isolatedPart = part;
        }
    });
    if (isolation == nullptr) {
        return verdict::allowed;
    }
    if (!isAllowed) {
        return verdict::isolated;
    }
    ++isolation->probes;
    m_changedParts[isolatedPart] = now();
    m_nextSend = now();
    logPart("prompt_part_probed", isolatedPart, "own");
    return verdict::probe;
}

bool crash_suspects::isIsolated(const std::vector<prompt_part> &prompt) const
{
    bool result = false;
    forSharedParts(prompt, [&](part_id part, unsigned /*position*/) {
        result = result || m_parts.findIsolation(part) != nullptr;
    });
    return result;
}

bool crash_suspects::mayRepeat(const std::vector<prompt_part> &prompt, unsigned lostRunners) const
{
    if (isIsolated(prompt)) {
        return false;
    }
    bool isSuspect = false;
    if (lostRunners >= maximumLostRunnersOfSuspect) {
        forSharedParts(prompt, [&](part_id part, unsigned /*position*/) {
            isSuspect = isSuspect || m_parts.isSuspect(part, crashCheck(), now());
        });
    }
    return !isSuspect;
}

bool crash_suspects::mayProbe(part_id part, const suspect_table::isolation &isolation) const
{
    const steady_time due = probeTime(isolation);
    if (now() < due) {
        return false;
    }
    const duration sinceDue = now() - due;
    const duration sinceSlotBegin = sinceDue % probeSlot;
    return sinceSlotBegin >= probeSlotMargin && sinceSlotBegin < probeSlot - probeSlotMargin / 2
        && isProber(part, isolation.probes, sinceDue / probeSlot);
}

bool crash_suspects::isProber(part_id part, unsigned probes, std::int64_t slot) const
{
    if (m_environment.members == nullptr) {
        return true;
    }
    const std::string purpose = fmt::format("/{:x}/{}", part, probes);
    const std::uint64_t ownRank = hashOf(m_environment.self.value() + purpose);
    std::size_t before = 0;
    for (const member_info &member : m_environment.members->members()) {
        const bool isAlive = member.lastContactAge && *member.lastContactAge < maximumContactAge;
        if (isAlive && !member.isSelf && !member.isStopping && hashOf(member.id.value() + purpose) > ownRank) {
            ++before;
        }
    }
    return before < std::size_t{1} << static_cast<unsigned>(std::min(slot, maximumProberDoublings));
}

void crash_suspects::attemptStarted(attempt_number number, const forward_request &request, const runner_id &runner)
{
    if (request.prompt.size() < 2) {
        return;
    }
    attempt started;
    started.prompt = request.prompt;
    started.runner = runner;
    started.key = keyOf(runner);
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
        noteSound(found->prompt);
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
    forSharedParts(found->prompt, [&](part_id part, unsigned position) {
        if (m_parts.addLoss(part, position, {found->key, found->request, now()}, now())
            && m_changedParts.size() < maximumChangedParts) {
            m_changedParts.emplace(part, now() + lossSendDelay);
        }
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
        noteSound(found->prompt);
    }
}

void crash_suspects::attemptEnded(attempt_number number, attempt_end end)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end()) {
        return;
    }
    m_runners.attemptEnded(number, found->second.key);
    if (end == attempt_end::not_sent) {
        m_runners.connectionRefused(found->second.key, now());
    }
    m_attempts.erase(found);
}

void crash_suspects::noteSound(const std::vector<prompt_part> &prompt)
{
    forSharedParts(prompt, [&](part_id part, unsigned /*position*/) { addSound(part, now()); });
}

void crash_suspects::addSound(part_id part, steady_time at)
{
    switch (m_parts.addSound(part, at, now())) {
    case suspect_table::sound_effect::none:
        return;
    case suspect_table::sound_effect::isolation_ended:
        logPart("prompt_part_released", part, "answered");
        [[fallthrough]];
    case suspect_table::sound_effect::losses_cleared:
        m_changedParts[part] = now();
    }
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
        mergePart(part);
    }
}

void crash_suspects::mergePart(const crash_evidence::part &part)
{
    if (part.soundAge) {
        addSound(part.id, now() - *part.soundAge);
    }
    mergeIsolation(part);
    const std::optional<steady_time> sound = m_parts.lastSound(part.id);
    const std::optional<steady_time> senderSound = part.soundAge ? std::optional(now() - *part.soundAge) : std::nullopt;
    for (const crash_evidence::lost_attempt &loss : part.losses) {
        const steady_time at = now() - loss.age;
        m_runners.attemptLostElsewhere(loss.runner, at);
        m_checkUntil = now() + crashCheckTime;
        const bool isNew = m_parts.addLoss(part.id, part.position, {loss.runner, loss.request, at}, now());
        // The sender does not know of the sound answer.
        const bool isCleared = sound >= at && senderSound < at;
        if ((isNew || isCleared) && m_changedParts.size() < maximumChangedParts) {
            m_changedParts.emplace(part.id, now());
        }
    }
}

void crash_suspects::mergeIsolation(const crash_evidence::part &part)
{
    if (!part.isolated) {
        return;
    }
    const suspect_table::isolation received{
        now() - part.isolated->age, now() - part.isolated->refusalAge, part.isolated->probes};
    if (suspect_table::isolation *known = m_parts.findIsolation(part.id)) {
        if (received.lastRefusal > known->lastRefusal + refusalInaccuracy) {
            known->lastRefusal = received.lastRefusal;
        }
        if (received.probes > known->probes) {
            known->probes = received.probes;
            m_changedParts[part.id] = now();
        }
        return;
    }
    if (m_parts.isolate(part.id, part.position, received)) {
        m_hasNewIsolations = true;
        logPart("prompt_part_isolated", part.id, "peer");
        m_changedParts[part.id] = now();
    } else {
        // The sender learns of the sound answer that speaks against the isolation.
        m_changedParts[part.id] = now();
    }
}

void crash_suspects::peerConnected(const vm_id &peer, action_list &actions)
{
    crash_evidence evidence;
    for (const auto &[id, suspect] : m_parts.suspects()) {
        if (suspect.isolated) {
            evidence.parts.push_back(describePart(id));
        }
    }
    if (!evidence.parts.empty()) {
        actions.push_back(send_to_peer{peer, std::move(evidence)});
    }
}

void crash_suspects::expire(action_list &actions)
{
    if (now() >= m_nextCheck) {
        m_nextCheck = now() + checkInterval;
        m_runners.expire(now());
        for (const part_id part : m_parts.expire(now())) {
            logPart("prompt_part_released", part, "no_requests");
        }
        detectCrashes();
        isolateParts();
        repeatIsolations();
        send(actions);
    }
    std::move(m_log.begin(), m_log.end(), std::back_inserter(actions));
    m_log.clear();
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

void crash_suspects::isolateParts()
{
    for (const auto &[id, suspect] : m_parts.suspects()) {
        if (!suspect.isolated && m_loggedSuspects.size() < maximumLoggedSuspects && !m_loggedSuspects.contains(id)
            && m_parts.isSuspect(id, crashCheck(), now())) {
            m_loggedSuspects.insert(id);
            logPart("prompt_part_suspected", id, "own");
        }
    }
    std::erase_if(m_loggedSuspects, [this](part_id part) { return m_parts.find(part) == nullptr; });
    while (const std::optional<part_id> isolated = m_parts.isolateMostSuspect(crashCheck(), now())) {
        m_hasNewIsolations = true;
        m_changedParts[*isolated] = now();
        logPart("prompt_part_isolated", *isolated, "own");
    }
}

void crash_suspects::repeatIsolations()
{
    if (now() < m_nextRepetition) {
        return;
    }
    m_nextRepetition = now() + repetitionInterval;
    for (const auto &[id, suspect] : m_parts.suspects()) {
        if (suspect.isolated) {
            m_changedParts.emplace(id, now());
        }
    }
}

std::vector<crash_suspects::part_id> crash_suspects::takeChangedParts()
{
    std::vector<part_id> due;
    for (const auto &[part, sendAt] : m_changedParts) {
        if (sendAt <= now()) {
            due.push_back(part);
        }
    }
    const auto weight = [this](part_id part) {
        const suspect_table::suspect *suspect = m_parts.find(part);
        return suspect == nullptr ? std::pair(false, std::size_t{0})
                                  : std::pair(suspect->isolated.has_value(), suspect->losses.size());
    };
    std::sort(due.begin(), due.end(), [&](part_id left, part_id right) {
        return std::pair(weight(left), left) > std::pair(weight(right), right);
    });
    due.resize(std::min(due.size(), maximumPartsPerMessage));
    for (const part_id part : due) {
        m_changedParts.erase(part);
    }
    return due;
}

void crash_suspects::send(action_list &actions)
{
    if (now() < m_nextSend) {
        return;
    }
    crash_evidence evidence;
    for (const part_id part : takeChangedParts()) {
        crash_evidence::part described = describePart(part);
        if (!described.losses.empty() || described.soundAge || described.isolated) {
            evidence.parts.push_back(std::move(described));
        }
    }
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

crash_evidence::part crash_suspects::describePart(part_id id) const
{
    crash_evidence::part part;
    part.id = id;
    if (const std::optional<steady_time> sound = m_parts.lastSound(id)) {
        part.soundAge = ageOf(*sound, now());
    }
    const suspect_table::suspect *suspect = m_parts.find(id);
    if (suspect == nullptr) {
        return part;
    }
    part.position = suspect->position;
    for (const suspect_table::loss &loss : suspect->losses) {
        part.losses.push_back({loss.runner, loss.request, ageOf(loss.at, now())});
    }
    if (suspect->isolated) {
        part.isolated = crash_evidence::isolation{ageOf(suspect->isolated->since, now()),
                                                  ageOf(suspect->isolated->lastRefusal, now()),
                                                  suspect->isolated->probes};
    }
    return part;
}

void crash_suspects::logPart(std::string_view event, part_id part, std::string_view source)
{
    if (m_log.size() >= maximumLogLines) {
        return;
    }
    suspect_table::counts counts;
    unsigned probes = 0;
    if (const suspect_table::suspect *suspect = m_parts.find(part)) {
        counts = m_parts.count(*suspect, crashCheck());
        probes = suspect->isolated ? suspect->isolated->probes : 0;
    }
    m_log.push_back(log_decision{event,
                                 {},
                                 {{"part", fmt::format("{:x}", part)},
                                  {"source", std::string(source)},
                                  {"runners", std::to_string(counts.runners)},
                                  {"unconfirmed_runners", std::to_string(counts.unconfirmedRunners)},
                                  {"requests", std::to_string(counts.requests)},
                                  {"probes", std::to_string(probes)}}});
}

steady_time crash_suspects::nextDeadline() const
{
    const bool isActive = !m_log.empty() || !m_changedParts.empty() || !m_changedRunners.empty()
        || !m_parts.suspects().empty() || now() < m_checkUntil;
    return isActive ? m_nextCheck : steady_time::max();
}

bool crash_suspects::takeIsolationsAdded()
{
    return std::exchange(m_hasNewIsolations, false);
}

void crash_suspects::describe(nlohmann::json &status) const
{
    for (const auto &[id, suspect] : m_parts.suspects()) {
        if (suspect.isolated) {
            status["isolated_parts"].push_back(fmt::format("{:x}", id));
        }
    }
}

} // namespace crocuslane
