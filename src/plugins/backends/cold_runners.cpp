#include "plugins/backends/cold_runners.h"

#include "base/name_table.h"

#include <algorithm>
#include <utility>

namespace crocuslane {

namespace {

// A list that is older may lack processes that have started since. Lists are read every 0.7 s.
constexpr std::chrono::seconds maximumListAge{4};
// A process that was missing from the list for less time, because of a failure of the store, is not a new one.
constexpr std::chrono::minutes processMemory{10};

constexpr auto sourceNames = makeNameTable<cold_source>({
    {cold_source::entry, "entry"},
    {cold_source::answer, "answer"},
    {cold_source::new_process, "new_process"},
    {cold_source::connection_refused, "connection_refused"},
    {cold_source::evacuation, "evacuation"},
});

std::string milliseconds(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

std::string_view toName(cold_source source)
{
    return sourceNames.name(source);
}

steady_time cold_runners::process::until() const
{
    if (rates.requestsPerSecond <= 0.0) {
        return {};
    }
    const bool countsFromStart = mayHaveStarted && rates.coldTime > duration::zero();
    return countsFromStart ? std::max(coldUntil, startedAt + rates.coldTime + addition) : coldUntil;
}

void cold_runners::setServices(const std::vector<forward_service> &services)
{
    m_services.clear();
    m_hasRates = false;
    for (const forward_service &each : services) {
        m_services[each.id] = {each.coldRequestsPerSecond, each.coldTime};
        m_hasRates = m_hasRates || each.coldRequestsPerSecond > 0.0;
    }
    m_latestUntil = {};
    for (auto &[key, each] : m_processes) {
        each.rates = ratesOf(each.serviceId);
        updateLatest(each);
    }
    m_hasChanged = true;
}

cold_runners::service cold_runners::ratesOf(const service_id &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? cold_runners::service{} : found->second;
}

void cold_runners::applyList(const backend_list_read &list, steady_time now)
{
    const bool isFirstList = !std::exchange(m_isListRead, true);
    for (auto &[key, each] : m_processes) {
        each.isListed = false;
    }
    for (const backend_entry &entry : list.entries) {
        noteListed(entry, isFirstList, now);
    }
    // Without a start time, a process that is listed again can't be told from its successor.
    std::erase_if(m_processes, [now](const auto &each) {
        const process &known = each.second;
        return !known.isListed && (!known.hasStartTime || now - known.listedAt > processMemory);
    });
    setListTime(list.upToDateAt == steady_time{} ? now : list.upToDateAt);
}

void cold_runners::noteListed(const backend_entry &entry, bool isFirstList, steady_time now)
{
    const runner_key key = keyOf(entry.id, entry.startedUnixMilliseconds);
    const auto [found, isNew] = m_processes.try_emplace(key);
    process &listed = found->second;
    if (isNew) {
        listed.runner = entry.id;
        listed.hasStartTime = entry.startedUnixMilliseconds != 0;
    }
    if (isNew || listed.serviceId != entry.service) {
        listed.serviceId = entry.service;
        listed.rates = ratesOf(entry.service);
        updateLatest(listed);
    }
    listed.listedAt = now;
    listed.isListed = true;
    setColdUntil(key, entry.coldUntil, cold_source::entry);
    if (isNew && !isFirstList) {
        setColdFrom(key, now, duration::zero(), cold_source::new_process);
    }
}

void cold_runners::setListTime(steady_time time)
{
    m_listTime = std::max(m_listTime.value_or(time), time);
    m_hasChanged = m_hasChanged || m_isReportedOld;
}

void cold_runners::setColdUntil(runner_key runner, steady_time until, cold_source source)
{
    const auto found = m_processes.find(runner);
    if (found == m_processes.end() || until <= found->second.coldUntil) {
        return;
    }
    process &cold = found->second;
    const steady_time before = cold.until();
    cold.coldUntil = until;
    if (cold.until() > before) {
        cold.source = source;
        updateLatest(cold);
    }
}

void cold_runners::setColdFrom(runner_key runner, steady_time start, duration addition, cold_source source)
{
    const auto found = m_processes.find(runner);
    if (found == m_processes.end()) {
        return;
    }
    process &cold = found->second;
    if (cold.mayHaveStarted && start + addition <= cold.startedAt + cold.addition) {
        return;
    }
    cold.startedAt = start;
    cold.addition = addition;
    cold.mayHaveStarted = true;
    if (cold.until() > cold.coldUntil) {
        cold.source = source;
        updateLatest(cold);
    }
}

void cold_runners::updateLatest(const process &changed)
{
    m_latestUntil = std::max(m_latestUntil, changed.until());
    m_hasChanged = true;
}

bool cold_runners::isTooOld(steady_time now) const
{
    return m_hasRates && m_listTime && now - *m_listTime > maximumListAge;
}

std::optional<runner_limit> cold_runners::limitOf(runner_key runner, steady_time now) const
{
    if (!hasLimits(now)) {
        return std::nullopt;
    }
    const auto found = m_processes.find(runner);
    if (found == m_processes.end() || found->second.rates.requestsPerSecond <= 0.0) {
        return std::nullopt;
    }
    const process &known = found->second;
    const bool isOld = isTooOld(now);
    if (!isOld && now >= known.until()) {
        return std::nullopt;
    }
    runner_limit limit;
    limit.requestsPerSecond = known.rates.requestsPerSecond;
    limit.sharedBy = runner_limit::sharing::listed_vms;
    if (!isOld) {
        limit.until = known.until();
    }
    return limit;
}

bool cold_runners::hasLimits(steady_time now) const
{
    return m_hasRates && (now < m_latestUntil || isTooOld(now));
}

std::size_t cold_runners::size() const
{
    return m_reportedCold;
}

bool cold_runners::isListOld() const
{
    return m_isReportedOld;
}

bool cold_runners::report(steady_time now, action_list &log)
{
    if (!m_hasChanged && now < m_nextChange) {
        return false;
    }
    m_hasChanged = false;
    bool hasMoreCapacity = reportList(now, log);
    m_reportedCold = 0;
    m_nextChange = m_hasRates && m_listTime && !m_isReportedOld
        ? *m_listTime + maximumListAge + std::chrono::milliseconds(1)
        : steady_time::max();
    for (auto &[key, each] : m_processes) {
        hasMoreCapacity = reportProcess(each, now, log) || hasMoreCapacity;
        if (each.isReportedCold) {
            ++m_reportedCold;
            m_nextChange = std::min(m_nextChange, each.until());
        }
    }
    return hasMoreCapacity;
}

bool cold_runners::reportList(steady_time now, action_list &log)
{
    const bool isOld = isTooOld(now);
    if (isOld == m_isReportedOld) {
        return false;
    }
    m_isReportedOld = isOld;
    log.push_back(log_decision{
        isOld ? "runner_list_old" : "runner_list_current", {}, {{"age_ms", milliseconds(now - *m_listTime)}}});
    return !isOld;
}

bool cold_runners::reportProcess(process &each, steady_time now, action_list &log)
{
    const bool isCold = now < each.until();
    if (isCold == each.isReportedCold) {
        return false;
    }
    each.isReportedCold = isCold;
    log_decision line{isCold ? "runner_cold" : "runner_warm",
                      {},
                      {{"runner", each.runner.value()}, {"source", std::string(toName(each.source))}}};
    if (isCold) {
        line.fields.emplace_back("left_ms", milliseconds(each.until() - now));
    }
    log.push_back(std::move(line));
    return !isCold;
}

steady_time cold_runners::nextDeadline() const
{
    return m_nextChange;
}

} // namespace crocuslane
