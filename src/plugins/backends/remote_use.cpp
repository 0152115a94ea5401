#include "plugins/backends/remote_use.h"

#include <algorithm>

namespace crocuslane {

namespace {

// Much shorter than the age of the counts, and rare enough at 300 VMs.
constexpr std::chrono::milliseconds historyInterval{500};
// A VM that was silent for longer than that has lost contact; its interval says nothing about the usual ones.
constexpr std::chrono::seconds longestInterval{10};
constexpr int smoothingDivisor = 4;

} // namespace

remote_use::remote_use(backend_table &table)
    : m_table(table)
{
}

void remote_use::set(const vm_id &vm, const std::vector<runner_use> &use, steady_time now)
{
    const auto [found, isNew] = m_vms.try_emplace(vm);
    reporting_vm &reporting = found->second;
    if (!isNew) {
        const duration interval = std::min<duration>(now - reporting.receivedAt, longestInterval);
        reporting.interval += (interval - reporting.interval) / smoothingDivisor;
    }
    reporting.receivedAt = now;
    removeCounts(vm);
    for (const runner_use &each : use) {
        backend_record *record = m_table.find(each.runner);
        if (record != nullptr && each.inFlight > 0) {
            record->remoteRunningByVm[vm] = each.inFlight;
        }
    }
    updateHistories(now);
}

void remote_use::remove(const vm_id &vm)
{
    m_vms.erase(vm);
    removeCounts(vm);
}

duration remote_use::age(steady_time now) const
{
    if (m_vms.empty()) {
        return {};
    }
    duration total{};
    for (const auto &[vm, reporting] : m_vms) {
        total += std::min<duration>(now - reporting.receivedAt, longestInterval) + reporting.interval / 2;
    }
    return total / static_cast<int>(m_vms.size());
}

void remote_use::removeCounts(const vm_id &vm)
{
    for (auto &[id, record] : m_table.backends()) {
        record.remoteRunningByVm.erase(vm);
    }
}

void remote_use::updateHistories(steady_time now)
{
    if (now < m_nextHistory) {
        return;
    }
    m_nextHistory = now + historyInterval;
    const duration mean = age(now);
    for (auto &[id, record] : m_table.backends()) {
        record.remoteUse.update(record.remoteRunning(), mean, now);
    }
}

} // namespace crocuslane
