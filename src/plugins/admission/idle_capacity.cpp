#include "plugins/admission/idle_capacity.h"

#include <algorithm>

namespace crocuslane {

namespace {

// Older reports do not show the current idle capacity.
constexpr std::chrono::seconds maximumReportAge{3};
// An admitted request appears in the load reports only after their interval and their transmission delay.
constexpr std::chrono::milliseconds reportDelay{1000};
// Share of all slots that excess requests leave free, so that a request within its limit finds a free slot at once.
constexpr double reservedSlotShare = 0.3;

} // namespace

void idle_capacity::setBackendServers(const std::vector<vm_entry> &entries)
{
    m_serviceByRunner.clear();
    for (auto &[service, state] : m_services) {
        state.runnerCount = 0;
    }
    for (const vm_entry &entry : entries) {
        if (entry.role == vm_role::model && entry.state == backend_state::live) {
            m_serviceByRunner[runner_id(entry.id)] = entry.service;
            ++m_services[entry.service].runnerCount;
        }
    }
    for (auto &[service, state] : m_services) {
        std::erase_if(state.reports, [this](const auto &each) { return !m_serviceByRunner.contains(each.first); });
    }
}

void idle_capacity::noteLoad(const runner_load &load, steady_time now)
{
    const auto service = m_serviceByRunner.find(load.runner);
    if (service == m_serviceByRunner.end() || load.state != backend_state::live) {
        noteUnreachable(load.runner);
        return;
    }
    const bool isIdle = load.queued == 0 && load.slotsUsed < load.slots;
    m_services[service->second].reports[load.runner] = {
        load.slots, isIdle ? load.slots - load.slotsUsed : 0, now - load.age};
}

void idle_capacity::noteUnreachable(const runner_id &runner)
{
    for (auto &[service, state] : m_services) {
        state.reports.erase(runner);
    }
}

std::optional<double> idle_capacity::available(const service_id &service, std::size_t vmCount, steady_time now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return std::nullopt;
    }
    double slots = 0.0;
    double idleSlots = 0.0;
    std::size_t freshReports = 0;
    for (const auto &[runner, report] : found->second.reports) {
        if (now - report.takenAt <= maximumReportAge) {
            slots += report.slots;
            idleSlots += report.idleSlots;
            ++freshReports;
        }
    }
    if (freshReports == 0) {
        return std::nullopt;
    }
    // This VM may receive reports of some runners only; their mean is extrapolated to all runners of the service.
    const double runnersPerReport =
        static_cast<double>(std::max(found->second.runnerCount, freshReports)) / static_cast<double>(freshReports);
    return std::max(0.0, idleSlots - reservedSlotShare * slots) * runnersPerReport / static_cast<double>(vmCount);
}

void idle_capacity::noteAdmitted(const service_id &service, const caller_group_id &group, steady_time now)
{
    service_state &state = m_services[service];
    state.recentAdmissions.push_back({now, group});
    ++state.recentByGroup[group];
}

std::size_t idle_capacity::recentAdmissions(const service_id &service, steady_time now)
{
    service_state &state = m_services[service];
    while (!state.recentAdmissions.empty() && now - state.recentAdmissions.front().at > reportDelay) {
        const auto found = state.recentByGroup.find(state.recentAdmissions.front().group);
        if (--found->second == 0) {
            state.recentByGroup.erase(found);
        }
        state.recentAdmissions.pop_front();
    }
    return state.recentAdmissions.size();
}

std::size_t idle_capacity::recentAdmissionsOf(const service_id &service, const caller_group_id &group) const
{
    const auto state = m_services.find(service);
    if (state == m_services.end()) {
        return 0;
    }
    const auto found = state->second.recentByGroup.find(group);
    return found == state->second.recentByGroup.end() ? 0 : found->second;
}

std::size_t idle_capacity::recentGroupCount(const service_id &service) const
{
    const auto state = m_services.find(service);
    return state == m_services.end() ? 0 : state->second.recentByGroup.size();
}

} // namespace crocuslane
