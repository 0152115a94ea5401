#include "plugins/forwarding/runner_crash_detector.h"

#include "base/name_table.h"

#include <algorithm>

namespace crocuslane {

namespace {

// The connections of a runner that ends are lost within this time of each other.
constexpr std::chrono::milliseconds burstTime{100};
constexpr unsigned lossesOfCrash = 3;
// What a runner had sent before it ended may be read shortly after the loss of another connection.
constexpr std::chrono::milliseconds readDelay{50};
// The times that other VMs report may be late by less than this, because the time in transit is not known.
constexpr std::chrono::milliseconds reportInaccuracy{1000};
// A runner that can't be reached or is no longer listed this long after a loss has ended for another reason.
constexpr std::chrono::seconds confirmationTime{6};
constexpr std::chrono::seconds crashLifetime{90};
constexpr std::size_t maximumRecords = 8192;

constexpr auto evidenceNames = makeNameTable<runner_crash_detector::evidence>({
    {runner_crash_detector::evidence::all_attempts_lost, "all_attempts_lost"},
    {runner_crash_detector::evidence::not_reachable, "not_reachable"},
    {runner_crash_detector::evidence::not_listed, "not_listed"},
});

} // namespace

runner_crash_detector::record *runner_crash_detector::findOrAdd(runner_key runner)
{
    const auto found = m_records.find(runner);
    if (found != m_records.end()) {
        return &found->second;
    }
    return m_records.size() < maximumRecords ? &m_records[runner] : nullptr;
}

void runner_crash_detector::attemptStarted(attempt_number attempt, runner_key runner, steady_time now)
{
    if (record *found = findOrAdd(runner)) {
        found->inProgress[attempt] = now;
    }
}

void runner_crash_detector::attemptEnded(attempt_number attempt, runner_key runner)
{
    const auto found = m_records.find(runner);
    if (found != m_records.end()) {
        found->second.inProgress.erase(attempt);
    }
}

void runner_crash_detector::attemptLost(runner_key runner, steady_time now)
{
    record *found = findOrAdd(runner);
    if (found == nullptr) {
        return;
    }
    const bool isSameBurst = found->ownLosses > 0 && now - found->lastOwnLoss <= burstTime;
    found->ownLosses = isSameBurst ? found->ownLosses + 1 : 1;
    found->lastOwnLoss = now;
    found->lastLoss = now;
}

void runner_crash_detector::attemptLostElsewhere(runner_key runner, steady_time at)
{
    record *found = findOrAdd(runner);
    if (found == nullptr) {
        return;
    }
    found->lastLossElsewhere = std::max(found->lastLossElsewhere.value_or(at), at);
    found->lastLoss = std::max(found->lastLoss.value_or(at), at);
}

void runner_crash_detector::connectionRefused(runner_key runner, steady_time now)
{
    if (record *found = findOrAdd(runner)) {
        found->refusedAt = now;
    }
}

bool runner_crash_detector::noteSignOfLife(runner_key runner, steady_time now)
{
    const auto found = m_records.find(runner);
    if (found == m_records.end()) {
        return false;
    }
    record &record = found->second;
    const bool hasLoss = record.lastLoss || record.crashedAt;
    const bool isAfterOwnLoss = record.ownLosses == 0 || now - record.lastOwnLoss > readDelay;
    const bool isAfterReport = std::max(record.lastLossElsewhere, record.crashedAt) < now - reportInaccuracy;
    if (!hasLoss || !isAfterOwnLoss || !isAfterReport) {
        return false;
    }
    record.ownLosses = 0;
    record.lastLoss.reset();
    record.lastLossElsewhere.reset();
    record.refusedAt.reset();
    record.goneAt.reset();
    record.crashedAt.reset();
    return true;
}

void runner_crash_detector::setListed(const std::set<runner_key> &listed, steady_time now)
{
    for (const runner_key runner : m_listed) {
        if (listed.contains(runner)) {
            continue;
        }
        if (record *found = findOrAdd(runner)) {
            found->goneAt = now;
        }
    }
    m_listed = listed;
}

bool runner_crash_detector::addCrash(runner_key runner, steady_time at)
{
    record *found = findOrAdd(runner);
    if (found == nullptr || found->crashedAt) {
        return false;
    }
    found->crashedAt = at;
    return true;
}

std::optional<runner_crash_detector::evidence> runner_crash_detector::evidenceOf(const record &record, steady_time now)
{
    if (!record.lastLoss || now - *record.lastLoss > confirmationTime) {
        return std::nullopt;
    }
    if (record.goneAt && *record.goneAt + reportInaccuracy >= *record.lastLoss) {
        return evidence::not_listed;
    }
    if (record.refusedAt && *record.refusedAt + reportInaccuracy >= *record.lastLoss) {
        return evidence::not_reachable;
    }
    // Fewer attempts may lose their answers at the same time by chance.
    if (record.ownLosses < lossesOfCrash || now - record.lastOwnLoss < burstTime) {
        return std::nullopt;
    }
    // Attempts that started after the loss may still be waiting for their connection.
    const bool hasSurvivor = std::any_of(record.inProgress.begin(),
                                         record.inProgress.end(),
                                         [&record](const auto &each) { return each.second < record.lastOwnLoss; });
    if (hasSurvivor) {
        return std::nullopt;
    }
    return evidence::all_attempts_lost;
}

std::vector<runner_crash_detector::detected_crash> runner_crash_detector::detect(steady_time now)
{
    std::vector<detected_crash> detected;
    for (auto &[runner, record] : m_records) {
        if (record.crashedAt) {
            continue;
        }
        if (const std::optional<evidence> reason = evidenceOf(record, now)) {
            record.crashedAt = record.lastLoss;
            detected.push_back({runner, *reason});
        }
    }
    return detected;
}

bool runner_crash_detector::hasCrashed(runner_key runner, steady_time lossAt) const
{
    const std::optional<steady_time> at = crashTime(runner);
    return at && lossAt + reportInaccuracy >= *at;
}

std::optional<steady_time> runner_crash_detector::crashTime(runner_key runner) const
{
    const auto found = m_records.find(runner);
    // A runner loses nothing after it has ended: its last loss is the time of the crash, and earlier ones were single
    // answers.
    return found == m_records.end() || !found->second.crashedAt
        ? std::nullopt
        : std::max(found->second.crashedAt, found->second.lastLoss);
}

void runner_crash_detector::expire(steady_time now)
{
    std::erase_if(m_records, [now](const auto &each) {
        const record &record = each.second;
        steady_time last = steady_time::min();
        for (const auto &time : {record.lastLoss, record.crashedAt, record.goneAt, record.refusedAt}) {
            last = std::max(last, time.value_or(last));
        }
        return record.inProgress.empty() && (last == steady_time::min() || now - last > crashLifetime);
    });
}

bool runner_crash_detector::isEmpty() const
{
    return m_records.empty();
}

std::string_view toName(runner_crash_detector::evidence evidence)
{
    return evidenceNames.name(evidence);
}

} // namespace crocuslane
