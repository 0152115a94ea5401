#include "plugins/admission/idle_capacity.h"

#include <algorithm>

namespace crocuslane {

namespace {

// Older reports say nothing of the capacity that is idle now.
constexpr std::chrono::seconds oldestReport{3};
// What was let in shows in the reports after their interval and their lag.
constexpr std::chrono::milliseconds reportDelay{1000};
// Kept free of excess, so that a request within its limit finds a free slot at once.
constexpr double headroom = 0.3;

} // namespace

void idle_capacity::setBackendServers(const std::vector<vm_entry> &entries)
{
    m_serviceOf.clear();
    for (auto &[service, state] : m_services) {
        state.runnerCount = 0;
    }
    for (const vm_entry &entry : entries) {
        if (entry.role == vm_role::model && entry.state == backend_state::live) {
            m_serviceOf[runner_id(entry.id)] = entry.service;
            ++m_services[entry.service].runnerCount;
        }
    }
    for (auto &[service, state] : m_services) {
        std::erase_if(state.reports, [this](const auto &each) { return !m_serviceOf.contains(each.first); });
    }
}

void idle_capacity::noteLoad(const runner_load &load, steady_time now)
{
    const auto service = m_serviceOf.find(load.runner);
    if (service == m_serviceOf.end() || load.state != backend_state::live) {
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
    double idle = 0.0;
    std::size_t fresh = 0;
    for (const auto &[runner, report] : found->second.reports) {
        if (now - report.takenAt <= oldestReport) {
            slots += report.slots;
            idle += report.idle;
            ++fresh;
        }
    }
    if (fresh == 0) {
        return std::nullopt;
    }
    // This VM may watch a part of the runners only, which stands for all of them.
    const double part = static_cast<double>(std::max(found->second.runnerCount, fresh)) / static_cast<double>(fresh);
    return std::max(0.0, idle - headroom * slots) * part / static_cast<double>(vmCount);
}

void idle_capacity::take(const service_id &service, const caller_group_id &group, steady_time now)
{
    service_state &state = m_services[service];
    state.recent.push_back({now, group});
    ++state.recentByGroup[group];
}

std::size_t idle_capacity::recent(const service_id &service, steady_time now)
{
    service_state &state = m_services[service];
    while (!state.recent.empty() && now - state.recent.front().at > reportDelay) {
        const auto found = state.recentByGroup.find(state.recent.front().group);
        if (--found->second == 0) {
            state.recentByGroup.erase(found);
        }
        state.recent.pop_front();
    }
    return state.recent.size();
}

std::size_t idle_capacity::recentOf(const service_id &service, const caller_group_id &group) const
{
    const auto state = m_services.find(service);
    if (state == m_services.end()) {
        return 0;
    }
    const auto found = state->second.recentByGroup.find(group);
    return found == state->second.recentByGroup.end() ? 0 : found->second;
}

std::size_t idle_capacity::recentGroups(const service_id &service) const
{
    const auto state = m_services.find(service);
    return state == m_services.end() ? 0 : state->second.recentByGroup.size();
}

} // namespace crocuslane
