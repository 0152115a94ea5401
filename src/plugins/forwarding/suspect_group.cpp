#include "plugins/forwarding/suspect_group.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace crocuslane {

namespace {

// A suspect that is answered often has its losses cleared within this time, and they need not be sent.
constexpr std::chrono::milliseconds lossSendDelay{200};
// A new connection, or a VM that has restarted, has the isolated suspects after this time at the latest.
constexpr std::chrono::seconds repetitionInterval{5};
constexpr std::size_t maximumChanges = 512;
constexpr std::size_t maximumLoggedSuspects = 256;
constexpr std::size_t maximumLogLines = 64;
// The first probe is sent this long after the isolation; each following interval is three times as long.
constexpr std::chrono::seconds firstProbeDelay{30};
constexpr std::chrono::seconds maximumProbeInterval{600};
constexpr int probeIntervalGrowth = 3;
// At first one VM may probe; their number doubles with each slot, since a VM may have no request with the suspect. The
// margins leave time for the news of a probe.
constexpr std::chrono::seconds probeSlot{6};
constexpr std::chrono::seconds probeSlotMargin{2};
constexpr std::int64_t maximumProberDoublings = 12;
constexpr std::chrono::seconds maximumContactAge{5};
// Reports of the last refusal that differ by less are the same, delayed in transit.
constexpr std::chrono::seconds refusalInaccuracy{1};

std::uint64_t hashOf(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::chrono::milliseconds ageOf(steady_time time, steady_time now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(now - time, duration::zero()));
}

/// When the next probe is due, after isolation.probes probes.
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

suspect_group::suspect_group(environment environment,
                             const suspect_log_names &names,
                             const suspect_table::thresholds &thresholds)
    : m_environment(std::move(environment))
    , m_names(names)
    , m_table(thresholds)
{
}

steady_time suspect_group::now() const
{
    return m_environment.time->steadyNow();
}

suspect_table::crash_check suspect_group::crashCheck() const
{
    return [this](const suspect_table::loss &loss) { return m_environment.runners->hasCrashed(loss.runner, loss.at); };
}

bool suspect_group::isIsolated(suspect_id id) const
{
    return m_table.findIsolation(id) != nullptr;
}

bool suspect_group::isSuspect(suspect_id id) const
{
    return m_table.isSuspect(id, crashCheck(), now());
}

bool suspect_group::noteRefusal(suspect_id id)
{
    suspect_table::isolation *found = m_table.findIsolation(id);
    if (found == nullptr) {
        return true;
    }
    found->lastRefusal = now();
    return mayProbe(id, *found);
}

void suspect_group::noteProbe(suspect_id id)
{
    suspect_table::isolation *found = m_table.findIsolation(id);
    if (found == nullptr) {
        return;
    }
    ++found->probes;
    m_changed[id] = now();
    log(m_names.probed, id, "own");
}

void suspect_group::addLoss(suspect_id id, unsigned position, const suspect_table::loss &loss)
{
    if (m_table.addLoss(id, position, loss, now()) && m_changed.size() < maximumChanges) {
        m_changed.emplace(id, now() + lossSendDelay);
    }
}

void suspect_group::eraseLosses(runner_key runner)
{
    m_table.eraseLosses(runner);
}

bool suspect_group::mayProbe(suspect_id id, const suspect_table::isolation &isolation) const
{
    const steady_time due = probeTime(isolation);
    if (now() < due) {
        return false;
    }
    const duration sinceDue = now() - due;
    const duration sinceSlotBegin = sinceDue % probeSlot;
    return sinceSlotBegin >= probeSlotMargin && sinceSlotBegin < probeSlot - probeSlotMargin / 2
        && isProber(id, isolation.probes, sinceDue / probeSlot);
}

bool suspect_group::isProber(suspect_id id, unsigned probes, std::int64_t slot) const
{
    if (m_environment.members == nullptr) {
        return true;
    }
    const std::string purpose = fmt::format("/{:x}/{}", id, probes);
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

void suspect_group::addSound(suspect_id id, steady_time at)
{
    switch (m_table.addSound(id, at, now())) {
    case suspect_table::sound_effect::none:
        return;
    case suspect_table::sound_effect::isolation_ended:
        log(m_names.released, id, "answered");
        [[fallthrough]];
    case suspect_table::sound_effect::losses_cleared:
        m_changed[id] = now();
    }
}

void suspect_group::merge(const crash_evidence::part &part)
{
    if (part.soundAge) {
        addSound(part.id, now() - *part.soundAge);
    }
    mergeIsolation(part);
    const std::optional<steady_time> sound = m_table.lastSound(part.id);
    const std::optional<steady_time> senderSound = part.soundAge ? std::optional(now() - *part.soundAge) : std::nullopt;
    for (const crash_evidence::lost_attempt &loss : part.losses) {
        const steady_time at = now() - loss.age;
        const bool isNew = m_table.addLoss(part.id, part.position, {loss.runner, loss.request, at}, now());
        // The sender does not know of the sound answer.
        const bool isCleared = sound >= at && senderSound < at;
        if ((isNew || isCleared) && m_changed.size() < maximumChanges) {
            m_changed.emplace(part.id, now());
        }
    }
}

void suspect_group::mergeIsolation(const crash_evidence::part &part)
{
    if (!part.isolated) {
        return;
    }
    const suspect_table::isolation received{
        now() - part.isolated->age, now() - part.isolated->refusalAge, part.isolated->probes};
    if (suspect_table::isolation *known = m_table.findIsolation(part.id)) {
        if (received.lastRefusal > known->lastRefusal + refusalInaccuracy) {
            known->lastRefusal = received.lastRefusal;
        }
        if (received.probes > known->probes) {
            known->probes = received.probes;
            m_changed[part.id] = now();
        }
        return;
    }
    if (m_table.isolate(part.id, part.position, received)) {
        m_hasNewIsolations = true;
        log(m_names.isolated, part.id, "peer");
    }
    // Else the sender learns of the sound answer that speaks against the isolation.
    m_changed[part.id] = now();
}

void suspect_group::check()
{
    for (const suspect_id id : m_table.expire(now())) {
        log(m_names.released, id, "no_requests");
    }
    logSuspected();
    isolate();
    repeatIsolations();
}

void suspect_group::logSuspected()
{
    for (const auto &[id, suspect] : m_table.suspects()) {
        if (!suspect.isolated && m_loggedSuspects.size() < maximumLoggedSuspects && !m_loggedSuspects.contains(id)
            && m_table.isSuspect(id, crashCheck(), now())) {
            m_loggedSuspects.insert(id);
            log(m_names.suspected, id, "own");
        }
    }
    std::erase_if(m_loggedSuspects, [this](suspect_id id) { return m_table.find(id) == nullptr; });
}

void suspect_group::isolate()
{
    while (const std::optional<suspect_id> isolated = m_table.isolateMostSuspect(crashCheck(), now())) {
        m_hasNewIsolations = true;
        m_changed[*isolated] = now();
        log(m_names.isolated, *isolated, "own");
    }
}

void suspect_group::repeatIsolations()
{
    if (now() < m_nextRepetition) {
        return;
    }
    m_nextRepetition = now() + repetitionInterval;
    for (const auto &[id, suspect] : m_table.suspects()) {
        if (suspect.isolated) {
            m_changed.emplace(id, now());
        }
    }
}

std::vector<crash_evidence::part> suspect_group::takeChanges(std::size_t most)
{
    std::vector<suspect_id> due;
    for (const auto &[id, sendAt] : m_changed) {
        if (sendAt <= now()) {
            due.push_back(id);
        }
    }
    const auto weight = [this](suspect_id id) {
        const suspect_table::suspect *suspect = m_table.find(id);
        return suspect == nullptr ? std::pair(false, std::size_t{0})
                                  : std::pair(suspect->isolated.has_value(), suspect->losses.size());
    };
    std::sort(due.begin(), due.end(), [&](suspect_id left, suspect_id right) {
        return std::pair(weight(left), left) > std::pair(weight(right), right);
    });
    due.resize(std::min(due.size(), most));
    std::vector<crash_evidence::part> described;
    for (const suspect_id id : due) {
        m_changed.erase(id);
        crash_evidence::part part = describe(id);
        if (!part.losses.empty() || part.soundAge || part.isolated) {
            described.push_back(std::move(part));
        }
    }
    return described;
}

crash_evidence::part suspect_group::describe(suspect_id id) const
{
    crash_evidence::part part;
    part.id = id;
    if (const std::optional<steady_time> sound = m_table.lastSound(id)) {
        part.soundAge = ageOf(*sound, now());
    }
    const suspect_table::suspect *suspect = m_table.find(id);
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

void suspect_group::log(std::string_view event, suspect_id id, std::string_view source)
{
    if (m_log.size() >= maximumLogLines) {
        return;
    }
    suspect_table::counts counts;
    unsigned probes = 0;
    if (const suspect_table::suspect *suspect = m_table.find(id)) {
        counts = m_table.count(*suspect, crashCheck());
        probes = suspect->isolated ? suspect->isolated->probes : 0;
    }
    m_log.push_back(log_decision{event,
                                 {},
                                 {{m_names.id, fmt::format("{:x}", id)},
                                  {"source", std::string(source)},
                                  {"runners", std::to_string(counts.runners)},
                                  {"unconfirmed_runners", std::to_string(counts.unconfirmedRunners)},
                                  {"requests", std::to_string(counts.requests)},
                                  {"probes", std::to_string(probes)}}});
}

bool suspect_group::isActive() const
{
    return !m_changed.empty() || !m_log.empty() || !m_table.suspects().empty();
}

std::vector<crash_evidence::part> suspect_group::describeIsolated() const
{
    std::vector<crash_evidence::part> parts;
    for (const suspect_id id : isolated()) {
        parts.push_back(describe(id));
    }
    return parts;
}

std::vector<suspect_group::suspect_id> suspect_group::isolated() const
{
    std::vector<suspect_id> ids;
    for (const auto &[id, suspect] : m_table.suspects()) {
        if (suspect.isolated) {
            ids.push_back(id);
        }
    }
    return ids;
}

bool suspect_group::takeIsolationsAdded()
{
    return std::exchange(m_hasNewIsolations, false);
}

std::vector<log_decision> suspect_group::takeLog()
{
    return std::exchange(m_log, {});
}

} // namespace crocuslane
