#include "plugins/backends/backend_table.h"

#include <algorithm>
#include <set>

namespace crocuslane {

namespace {

// A load report older than this is ignored.
constexpr std::chrono::milliseconds reportedLoadLifetime{1500};
constexpr double minimumSlowdownFactor = 0.5;

log_decision runnerLogEntry(std::string_view event, const backend_entry &entry)
{
    return {event,
            {},
            {{"runner", entry.id.value()},
             {"service", entry.service.value()},
             {"address", entry.address},
             {"version", entry.version},
             {"condition", entry.condition == backend_condition::ready ? "ready" : "leaving"}}};
}

} // namespace

runner_key backend_record::process() const
{
    return keyOf(entry.id, entry.startedUnixMilliseconds);
}

bool backend_record::isLeaving() const
{
    return statesLeaving || entry.condition == backend_condition::leaving;
}

unsigned backend_record::remoteRunning() const
{
    unsigned total = 0;
    for (const auto &[vm, count] : remoteRunningByVm) {
        total += count;
    }
    return total;
}

unsigned backend_record::estimatedRunning(steady_time now) const
{
    const unsigned counted = localRunning + remoteRunning();
    if (!load || now - loadReceivedAt > reportedLoadLifetime) {
        return counted;
    }
    const unsigned reported = load->running + load->waiting;
    const unsigned others = reported > localRunningAtLoad ? reported - localRunningAtLoad : 0;
    return std::max(counted, others + localRunning);
}

double backend_record::slowdownFactor(steady_time now) const
{
    if (!load || now - loadReceivedAt > reportedLoadLifetime) {
        return 1.0;
    }
    return std::max(load->slowdownFactor, minimumSlowdownFactor);
}

void backend_table::applyList(const backend_list_read &list, steady_time now, action_list &log)
{
    const bool isFirstOfEpoch = list.epoch != m_epoch;
    m_epoch = list.epoch;
    m_gone.expire(now);
    std::set<runner_id> listed;
    for (const backend_entry &entry : list.entries) {
        listed.insert(entry.id);
        if (isStale(entry, list.epoch, isFirstOfEpoch, log)) {
            keepMissing(entry.id, list.removalsIgnoredUntil);
        } else {
            addOrUpdate(entry, list.epoch, log);
        }
    }
    applyStatements(now);
    for (auto &[id, record] : m_backends) {
        if (listed.contains(id) || record.removeAt) {
            continue;
        }
        record.removeAt = record.isLeaving() ? now : std::max(now, list.removalsIgnoredUntil);
        record.history.replaced(list.epoch);
    }
    expire(now, log);
}

// Without a start time, a process can't be told from the one that follows it under the same id: its statement expires.
void backend_table::applyStatements(steady_time now)
{
    for (auto &[id, record] : m_backends) {
        if (record.entry.startedUnixMilliseconds != 0) {
            m_leaving.keep(record.process(), now);
        }
    }
    m_leaving.expire(now);
    for (auto &[id, record] : m_backends) {
        record.statesLeaving = m_leaving.contains(record.process());
    }
}

bool backend_table::noteLeaving(attempt_number attempt, const stated_leaving &stated, steady_time now, action_list &log)
{
    const attempt_load *load = findAttempt(attempt);
    if (load == nullptr) {
        return false;
    }
    const leaving_runners::change change = m_leaving.note(load->process, stated, now);
    if (change == leaving_runners::change::unreadable) {
        log.push_back(log_decision{
            "runner_leaving_unreadable", {}, {{"runner", load->runner.value()}, {"value", stated.unreadable}}});
    }
    if (change != leaving_runners::change::leaves) {
        return false;
    }
    log.push_back(log_decision{"runner_leaving_stated", {}, {{"runner", load->runner.value()}}});
    backend_record *record = find(load->runner);
    if (record != nullptr && record->process() == load->process) {
        record->statesLeaving = true;
    }
    return true;
}

std::size_t backend_table::leavingCount() const
{
    return m_leaving.size();
}

entry_history::age
backend_table::ageOf(backend_record &record, const backend_entry &listed, log_epoch epoch, bool isFirstOfEpoch)
{
    return record.removeAt ? record.history.compareWithGone(record.entry, listed, epoch, isFirstOfEpoch)
                           : record.history.compare(record.entry, listed, epoch);
}

bool backend_table::isStale(const backend_entry &entry, log_epoch epoch, bool isFirstOfEpoch, action_list &log)
{
    const auto found = m_backends.find(entry.id);
    const entry_history::age age = found == m_backends.end() ? m_gone.compare(entry, epoch, isFirstOfEpoch)
                                                             : ageOf(found->second, entry, epoch, isFirstOfEpoch);
    if (age == entry_history::age::first_stale) {
        log.push_back(runnerLogEntry("runner_entry_stale", entry));
    }
    return age != entry_history::age::newer;
}

// A runner that lives reports again within that time.
void backend_table::keepMissing(const runner_id &runner, steady_time until)
{
    backend_record *record = find(runner);
    if (record != nullptr && record->removeAt) {
        record->removeAt = std::max(*record->removeAt, until);
    }
}

void backend_table::addOrUpdate(const backend_entry &entry, log_epoch epoch, action_list &log)
{
    if (backend_record *record = find(entry.id)) {
        update(*record, entry, log);
    } else {
        add(entry, log);
    }
    m_backends[entry.id].history.replaced(epoch);
}

void backend_table::add(const backend_entry &entry, action_list &log)
{
    m_gone.remove(entry.id);
    m_backends[entry.id].entry = entry;
    log.push_back(runnerLogEntry("runner_listed", entry));
}

void backend_table::update(backend_record &record, const backend_entry &entry, action_list &log)
{
    record.removeAt.reset();
    const bool isRestart = entry.startedUnixMilliseconds != record.entry.startedUnixMilliseconds;
    if (isRestart) {
        // The new process has no cached prompts and no earlier failures; the requests in progress at the old one end
        // with their own attempts.
        record.prompts.clear();
        record.load.reset();
        record.failures = {};
    }
    const bool hasChanged = isRestart || entry.condition != record.entry.condition
        || entry.address != record.entry.address || entry.version != record.entry.version
        || entry.service != record.entry.service;
    const std::uint64_t newestSequence = isRestart ? 0 : record.entry.sequence;
    record.entry = entry;
    // An older copy of the log may list an earlier report of the same process.
    record.entry.sequence = std::max(entry.sequence, newestSequence);
    if (hasChanged) {
        log.push_back(runnerLogEntry("runner_changed", entry));
    }
}

void backend_table::expire(steady_time now, action_list &log)
{
    std::erase_if(m_backends, [&](const auto &each) {
        const backend_record &record = each.second;
        if (!record.removeAt || now < *record.removeAt) {
            return false;
        }
        m_gone.add(record.entry, m_epoch, now);
        log.push_back(runnerLogEntry("runner_gone", record.entry));
        return true;
    });
}

steady_time backend_table::nextExpiry() const
{
    steady_time next = steady_time::max();
    for (const auto &[id, record] : m_backends) {
        if (record.removeAt) {
            next = std::min(next, *record.removeAt);
        }
    }
    return next;
}

std::vector<backend_record *> backend_table::findReady(const service_id &service)
{
    std::vector<backend_record *> found;
    for (auto &[id, record] : m_backends) {
        if (record.entry.service == service && !record.isLeaving()) {
            found.push_back(&record);
        }
    }
    return found;
}

backend_record *backend_table::find(const runner_id &runner)
{
    const auto found = m_backends.find(runner);
    return found == m_backends.end() ? nullptr : &found->second;
}

std::size_t backend_table::size() const
{
    return m_backends.size();
}

void backend_table::attemptStarted(attempt_number attempt, const attempt_load &load)
{
    m_attempts[attempt] = load;
    if (backend_record *record = find(load.runner)) {
        ++record->localRunning;
        record->memoryTokens += load.memoryTokens;
        record->prefillTime += load.prefillTime;
    }
}

const attempt_load *backend_table::findAttempt(attempt_number attempt) const
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : &found->second;
}

const attempt_load *backend_table::answerBegan(attempt_number attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || found->second.hasAnswerBegun) {
        return nullptr;
    }
    found->second.hasAnswerBegun = true;
    if (backend_record *record = find(found->second.runner)) {
        record->prefillTime -= std::min(record->prefillTime, found->second.prefillTime);
    }
    return &found->second;
}

backend_record *backend_table::attemptEnded(attempt_number attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return nullptr;
    }
    answerBegan(attempt);
    const attempt_load load = found->second;
    m_attempts.erase(found);
    backend_record *record = find(load.runner);
    if (record != nullptr) {
        record->localRunning -= std::min(record->localRunning, 1U);
        record->memoryTokens -= std::min(record->memoryTokens, load.memoryTokens);
    }
    return record;
}

const std::unordered_map<runner_id, backend_record> &backend_table::backends() const
{
    return m_backends;
}

std::unordered_map<runner_id, backend_record> &backend_table::backends()
{
    return m_backends;
}

} // namespace crocuslane
