#include "enginemodel/engine_model.h"

#include "enginemodel/answer_text.h"

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

/// A milestone counts as reached when less than this much work, in nanoseconds, is missing; allows for the rounding of
/// floating-point sums.
constexpr double workTolerance = 0.5;

double nanoseconds(duration value)
{
    return std::chrono::duration<double, std::nano>(value).count();
}

} // namespace

bool engine_model::milestone::operator>(const milestone &other) const
{
    return work != other.work ? work > other.work : serial > other.serial;
}

engine_model::engine_model(engine_settings settings, steady_time start)
    : m_settings(std::move(settings))
    , m_cache(m_settings)
    , m_wantedVersions(m_settings.versions)
    , m_now(start)
{
    for (const auto &[id, speed] : m_settings.speeds) {
        m_versions[id].speed = speed;
    }
    for (const version_id &id : m_settings.versions) {
        m_versions[id].phase = load_phase::loaded;
    }
    m_slots.resize(m_settings.slots);
    for (std::uint32_t slot = m_settings.slots; slot > 0; --slot) {
        m_freeSlots.push_back(slot - 1);
    }
    updateLoadedVersions();
}

engine_model::~engine_model() = default;

submit_result engine_model::submit(engine_request request, steady_time now)
{
    beginCall(now);
    const auto version = m_versions.find(request.version);
    if (version == m_versions.end() || version->second.phase != load_phase::loaded) {
        ++m_totals.rejected;
        return submit_result::version_not_loaded;
    }
    const bool isQueued = m_freeSlots.empty();
    if (isQueued && m_queue.size() >= m_settings.maximumQueue) {
        ++m_totals.rejected;
        return submit_result::queue_full;
    }
    ++m_totals.accepted;
    ++version->second.requests;
    if (isQueued) {
        const queue_key key{request.priority, m_nextSerial++};
        m_queueKeys[request.id] = key;
        m_queue.emplace(key, std::move(request));
    } else {
        startRequest(std::move(request));
        updateRate();
    }
    recordLoad();
    return submit_result::accepted;
}

std::optional<std::uint32_t> engine_model::cancel(std::uint64_t request, steady_time now)
{
    beginCall(now);
    if (const auto queued = m_queueKeys.find(request); queued != m_queueKeys.end()) {
        const auto position = m_queue.find(queued->second);
        version_record &version = m_versions[position->second.version];
        m_queue.erase(position);
        m_queueKeys.erase(queued);
        ++m_totals.cancelled;
        releaseVersion(version);
        recordLoad();
        return 0;
    }
    const auto found = m_slotOfRequest.find(request);
    if (found == m_slotOfRequest.end()) {
        return std::nullopt;
    }
    const std::uint32_t slot = found->second;
    running_request &running = m_slots[slot];
    const std::uint32_t generated = generatedTokens(running);
    m_totals.generatedTokens += generated;
    ++m_totals.cancelled;
    freeSlot(running, slot);
    startWaiting();
    return generated;
}

const std::vector<engine_event> &engine_model::advanceTo(steady_time now)
{
    beginCall(now);
    m_returnedEvents.clear();
    m_returnedEvents.swap(m_pendingEvents);
    return m_returnedEvents;
}

steady_time engine_model::nextEventTime() const
{
    return m_pendingEvents.empty() ? nextInternalTime() : m_pendingEvents.front().time;
}

bool engine_model::order(log_offset fencing, const std::set<version_id> &versions, steady_time now)
{
    beginCall(now);
    if (m_settings.checksFencing && fencing < m_highestFencing) {
        return false;
    }
    m_highestFencing = std::max(m_highestFencing, fencing);
    m_wantedVersions = versions;
    for (auto &[id, version] : m_versions) {
        if (m_wantedVersions.contains(id)) {
            continue;
        }
        if (version.phase == load_phase::loaded) {
            version.phase = load_phase::unloading;
        }
        if (version.phase == load_phase::waiting) {
            version.phase = load_phase::absent;
            std::erase(m_loadQueue, id);
        }
        if (version.phase == load_phase::unloading && version.requests == 0) {
            version.phase = load_phase::absent;
        }
    }
    for (const version_id &id : m_wantedVersions) {
        version_record &version = m_versions[id];
        if (version.phase == load_phase::unloading) {
            version.phase = load_phase::loaded;
        }
        if (version.phase == load_phase::absent) {
            version.phase = load_phase::waiting;
            m_loadQueue.push_back(id);
        }
    }
    startNextLoad();
    updateLoadedVersions();
    return true;
}

std::optional<version_id> engine_model::versionToLoad() const
{
    return m_settings.hasExternalLoads ? m_loadingVersion : std::nullopt;
}

void engine_model::finishLoad(const version_id &version, steady_time now)
{
    beginCall(now);
    if (m_loadingVersion == version) {
        completeLoad();
    }
}

engine_load_report engine_model::loadReport(steady_time now) const
{
    const duration readable = now.time_since_epoch() - m_settings.loadReportLag;
    const duration interval = std::max(m_settings.loadReportInterval, duration(1));
    const steady_time takenAt(readable - readable % interval);
    const load_sample *reported = &m_loadHistory.front();
    for (const load_sample &sample : m_loadHistory) {
        if (sample.time > takenAt) {
            break;
        }
        reported = &sample;
    }
    engine_load_report report;
    report.slots = m_settings.slots;
    report.slotsUsed = reported->slotsUsed;
    report.queued = reported->queued;
    report.versions = *reported->versions;
    report.age = now - std::max(takenAt, m_loadHistory.front().time);
    report.isLeaving = reported->isLeaving;
    return report;
}

engine_load_report engine_model::currentLoad() const
{
    engine_load_report report;
    report.slots = m_settings.slots;
    report.slotsUsed = static_cast<std::uint32_t>(m_slotOfRequest.size());
    report.queued = static_cast<std::uint32_t>(m_queue.size());
    report.versions = *m_loadedVersions;
    report.isLeaving = m_isLeaving;
    return report;
}

std::vector<engine_cache_event> engine_model::cacheEvents(std::uint64_t from, steady_time now) const
{
    return m_cache.events(from, now);
}

bool engine_model::isCached(const version_id &version, std::uint64_t prefixHash) const
{
    return m_cache.contains(version, prefixHash);
}

void engine_model::importPrefix(const version_id &version,
                                const std::vector<std::uint64_t> &prefixHashes,
                                steady_time now)
{
    beginCall(now);
    m_cache.insert(version, prefixHashes, m_now);
}

void engine_model::addSlowPeriod(steady_time from, steady_time until, double factor)
{
    m_slowPeriods.push_back({from, until, factor});
    updateRate();
}

void engine_model::setFault(const version_id &version, const version_fault &fault)
{
    version_record &record = m_versions[version];
    record.fault = fault;
    record.faultSeed = hashText(version.value());
}

void engine_model::setLeaving(bool isLeaving, steady_time now)
{
    beginCall(now);
    m_isLeaving = isLeaving;
    recordLoad();
}

void engine_model::restart(steady_time now)
{
    beginCall(now);
    m_pendingEvents.clear();
    m_queue.clear();
    m_queueKeys.clear();
    for (std::uint32_t slot = 0; slot < m_slots.size(); ++slot) {
        if (m_slots[slot].serial != 0) {
            freeSlot(m_slots[slot], slot);
        }
    }
    for (auto &[id, version] : m_versions) {
        version.requests = 0;
        if (version.phase == load_phase::unloading) {
            version.phase = load_phase::absent;
        }
    }
    m_cache.clear(m_now);
    updateRate();
    updateLoadedVersions();
}

const engine_totals &engine_model::totals() const
{
    return m_totals;
}

void engine_model::beginCall(steady_time now)
{
    run(std::max(now, m_now));
}

void engine_model::run(steady_time until)
{
    for (steady_time next = nextInternalTime(); next <= until; next = nextInternalTime()) {
        advanceClock(next);
        if (m_loadEndTime <= m_now) {
            completeLoad();
        }
        if (m_nextSlowPeriodChange <= m_now) {
            updateRate();
        }
        while (!m_milestones.empty() && m_milestones.top().work <= m_workDone + workTolerance) {
            const milestone reached = m_milestones.top();
            m_milestones.pop();
            reachMilestone(reached);
        }
    }
    advanceClock(until);
}

steady_time engine_model::nextInternalTime() const
{
    steady_time next = std::min(m_loadEndTime, m_nextSlowPeriodChange);
    if (!m_milestones.empty()) {
        const double untilMilestone = std::max(0.0, std::ceil((m_milestones.top().work - m_workDone) / m_rate));
        // Bounded so that a very large factor of a slow period doesn't overflow the time.
        const double maximum = nanoseconds(std::chrono::hours(24 * 365));
        next = std::min(next, m_now + duration(static_cast<duration::rep>(std::min(untilMilestone, maximum))));
    }
    return next;
}

void engine_model::advanceClock(steady_time time)
{
    if (!m_slotOfRequest.empty()) {
        m_workDone += nanoseconds(time - m_now) * m_rate;
    }
    m_now = time;
}

void engine_model::updateRate()
{
    std::erase_if(m_slowPeriods, [this](const slow_period &period) { return period.until <= m_now; });
    m_slowFactor = 1.0;
    m_nextSlowPeriodChange = steady_time::max();
    for (const slow_period &period : m_slowPeriods) {
        if (period.from <= m_now) {
            m_slowFactor *= period.factor;
            m_nextSlowPeriodChange = std::min(m_nextSlowPeriodChange, period.until);
        } else {
            m_nextSlowPeriodChange = std::min(m_nextSlowPeriodChange, period.from);
        }
    }
    const std::size_t running = m_slotOfRequest.size();
    const double others = running > 0 ? static_cast<double>(running - 1) : 0.0;
    m_rate = 1.0 / ((1.0 + m_settings.slowdownPerRequest * others) * m_slowFactor);
}

void engine_model::reachMilestone(const milestone &reached)
{
    running_request &running = m_slots[reached.slot];
    if (running.serial != reached.serial) {
        return;
    }
    if (!running.isPrefilled) {
        running.isPrefilled = true;
        m_cache.insert(running.request.version, running.request.prefixHashes, m_now);
    }
    if (running.reportUntil > running.nextIndex) {
        engine_event event;
        event.time = m_now;
        event.request = running.request.id;
        event.kind = engine_event_kind::tokens;
        event.index = running.nextIndex;
        event.count = running.reportUntil - running.nextIndex;
        event.isWrong = running.isWrong;
        m_pendingEvents.push_back(event);
        running.nextIndex = running.reportUntil;
    }
    if (running.nextIndex >= running.endIndex) {
        finish(running, reached.slot);
        return;
    }
    const std::uint32_t remaining = running.endIndex - running.nextIndex;
    running.reportUntil = running.nextIndex + std::min(remaining, std::max(1U, m_settings.tokensPerEvent));
    scheduleReport(running, reached.slot);
}

void engine_model::scheduleReport(running_request &running, std::uint32_t slot)
{
    const std::uint32_t tokens = std::max(1U, running.reportUntil - running.request.resumeFrom);
    m_milestones.push({running.decodeStart + running.workPerToken * tokens, running.serial, slot});
}

void engine_model::finish(running_request &running, std::uint32_t slot)
{
    const engine_request &request = running.request;
    engine_event event;
    event.time = m_now;
    event.request = request.id;
    event.kind = engine_event_kind::finished;
    event.index = running.endIndex;
    const bool isCut = request.maximumTokens != 0 && request.maximumTokens < request.answerTokens;
    event.reason = isCut ? finish_reason::length : finish_reason::stop;
    event.usage.promptTokens = request.promptTokens;
    event.usage.cachedPromptTokens = running.cachedTokens;
    event.usage.outputTokens = running.endIndex;
    event.isWrong = running.isWrong;
    m_pendingEvents.push_back(event);

    ++m_totals.finished;
    m_totals.generatedTokens += running.endIndex - std::min(running.endIndex, request.resumeFrom);
    freeSlot(running, slot);
    startWaiting();
}

void engine_model::freeSlot(running_request &running, std::uint32_t slot)
{
    m_slotOfRequest.erase(running.request.id);
    version_record *version = running.version;
    running.version = nullptr;
    running.serial = 0;
    m_freeSlots.push_back(slot);
    releaseVersion(*version);
    // Without this, nextEventTime() would return times at which only requests that have ended had a milestone.
    while (!m_milestones.empty() && m_slots[m_milestones.top().slot].serial != m_milestones.top().serial) {
        m_milestones.pop();
    }
}

void engine_model::startWaiting()
{
    while (!m_freeSlots.empty() && !m_queue.empty()) {
        auto first = m_queue.extract(m_queue.begin());
        m_queueKeys.erase(first.mapped().id);
        startRequest(std::move(first.mapped()));
    }
    updateRate();
    recordLoad();
}

void engine_model::startRequest(engine_request request)
{
    const std::uint32_t slot = m_freeSlots.back();
    m_freeSlots.pop_back();
    running_request &running = m_slots[slot];
    running = running_request{};
    running.request = std::move(request);
    running.serial = m_nextSerial++;
    const engine_request &started = running.request;
    version_record &version = m_versions[started.version];
    running.version = &version;

    const version_fault_kind fault = isAffected(version, started) ? version.fault.kind : version_fault_kind::none;
    running.isWrong = fault == version_fault_kind::wrong;
    running.endIndex = started.answerTokens;
    if (started.maximumTokens != 0) {
        running.endIndex = std::min(running.endIndex, started.maximumTokens);
    }
    if (fault == version_fault_kind::empty) {
        running.endIndex = 0;
    }
    running.nextIndex = started.resumeFrom;
    running.reportUntil = std::min(started.resumeFrom + 1, running.endIndex);

    const std::uint32_t cachedBlocks = m_cache.findPrefix(started.version, started.prefixHashes);
    running.cachedTokens = std::min(cachedBlocks * tokensPerCacheBlock, started.promptTokens);
    const std::uint32_t prefillTokens = started.promptTokens - running.cachedTokens + started.resumeFrom;
    m_totals.cachedTokens += running.cachedTokens;
    m_totals.prefilledTokens += prefillTokens;

    const double faultFactor = fault == version_fault_kind::slow ? version.fault.slowFactor : 1.0;
    const double prefillWork =
        nanoseconds(m_settings.prefillTime) * version.speed.prefillTimeFactor * faultFactor * prefillTokens;
    running.workPerToken = nanoseconds(m_settings.tokenTime) * version.speed.tokenTimeFactor * faultFactor;
    running.decodeStart = m_workDone + prefillWork;
    m_slotOfRequest[started.id] = slot;
    scheduleReport(running, slot);
}

bool engine_model::isAffected(const version_record &version, const engine_request &request) const
{
    return version.fault.kind != version_fault_kind::none
        && uniformFromHash(request.contentHash, version.faultSeed) < version.fault.share;
}

std::uint32_t engine_model::generatedTokens(const running_request &running) const
{
    if (m_workDone < running.decodeStart || running.endIndex <= running.request.resumeFrom) {
        return 0;
    }
    const double tokens = std::floor((m_workDone + workTolerance - running.decodeStart) / running.workPerToken);
    const std::uint32_t bound = running.endIndex - running.request.resumeFrom;
    return tokens >= bound ? bound : static_cast<std::uint32_t>(tokens);
}

void engine_model::releaseVersion(version_record &version)
{
    if (version.requests > 0) {
        --version.requests;
    }
    if (version.requests == 0 && version.phase == load_phase::unloading) {
        version.phase = load_phase::absent;
        updateLoadedVersions();
    }
}

void engine_model::startNextLoad()
{
    if (m_loadingVersion || m_loadQueue.empty()) {
        return;
    }
    m_loadingVersion = m_loadQueue.front();
    m_loadQueue.pop_front();
    m_versions[*m_loadingVersion].phase = load_phase::loading;
    m_loadEndTime = m_settings.hasExternalLoads ? steady_time::max() : m_now + m_settings.loadTime;
}

void engine_model::completeLoad()
{
    version_record &version = m_versions[*m_loadingVersion];
    version.phase = m_wantedVersions.contains(*m_loadingVersion) ? load_phase::loaded : load_phase::absent;
    m_loadingVersion.reset();
    m_loadEndTime = steady_time::max();
    startNextLoad();
    updateLoadedVersions();
}

void engine_model::updateLoadedVersions()
{
    std::set<version_id> loaded;
    for (const auto &[id, version] : m_versions) {
        if (version.phase == load_phase::loaded) {
            loaded.insert(id);
        }
    }
    m_loadedVersions = std::make_shared<const std::set<version_id>>(std::move(loaded));
    recordLoad();
}

void engine_model::recordLoad()
{
    load_sample sample;
    sample.time = m_now;
    sample.slotsUsed = static_cast<std::uint32_t>(m_slotOfRequest.size());
    sample.queued = static_cast<std::uint32_t>(m_queue.size());
    sample.versions = m_loadedVersions;
    sample.isLeaving = m_isLeaving;
    if (!m_loadHistory.empty() && m_loadHistory.back().time == m_now) {
        m_loadHistory.back() = std::move(sample);
    } else {
        m_loadHistory.push_back(std::move(sample));
    }
    // Samples older than the report that is readable now can't be requested any more, as times don't decrease.
    const steady_time oldest = m_now - m_settings.loadReportLag - m_settings.loadReportInterval;
    while (m_loadHistory.size() > 1 && m_loadHistory[1].time <= oldest) {
        m_loadHistory.pop_front();
    }
}

} // namespace crocuslane
