#include "plugins/backends/backend_table.h"

#include <algorithm>
#include <set>

namespace crocuslane {

namespace {

constexpr std::chrono::milliseconds statementLifetime{1500};
constexpr double shortestSlowness = 0.5;

log_decision runnerLine(std::string_view event, const backend_entry &entry)
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

unsigned backend_record::remoteRunning() const
{
    unsigned total = 0;
    for (const auto &[vm, count] : remote) {
        total += count;
    }
    return total;
}

unsigned backend_record::estimatedRunning(steady_time now) const
{
    const unsigned counted = running + remoteRunning();
    if (!load || now - loadAt > statementLifetime) {
        return counted;
    }
    const unsigned stated = load->running + load->waiting;
    const unsigned others = stated > runningAtLoad ? stated - runningAtLoad : 0;
    return std::max(counted, others + running);
}

double backend_record::slowness(steady_time now) const
{
    if (!load || now - loadAt > statementLifetime) {
        return 1.0;
    }
    return std::max(load->slowdownFactor, shortestSlowness);
}

void backend_table::applyList(const backend_list_read &list, steady_time now, action_list &log)
{
    std::set<runner_id> listed;
    for (const backend_entry &entry : list.entries) {
        listed.insert(entry.id);
        const auto found = m_states.find(entry.id);
        if (found == m_states.end()) {
            add(entry, log);
        } else {
            update(found->second, entry, log);
        }
    }
    for (auto &[id, state] : m_states) {
        if (listed.contains(id) || state.vanishesAt) {
            continue;
        }
        const bool mayReturn = state.entry.condition == backend_condition::ready;
        state.vanishesAt = mayReturn ? std::max(now, list.removalsIgnoredUntil) : now;
    }
    expire(now, log);
}

void backend_table::add(const backend_entry &entry, action_list &log)
{
    m_states[entry.id].entry = entry;
    log.push_back(runnerLine("runner_listed", entry));
}

void backend_table::update(backend_record &state, const backend_entry &entry, action_list &log)
{
    state.vanishesAt.reset();
    const bool isRestart = entry.startedUnixMilliseconds != state.entry.startedUnixMilliseconds;
    if (isRestart) {
        // It holds nothing of before; requests in progress there end by themselves.
        state.prompts.clear();
        state.load.reset();
        state.failures = {};
    }
    const bool hasChanged = isRestart || entry.condition != state.entry.condition
        || entry.address != state.entry.address || entry.version != state.entry.version
        || entry.service != state.entry.service;
    state.entry = entry;
    if (hasChanged) {
        log.push_back(runnerLine("runner_changed", entry));
    }
}

void backend_table::expire(steady_time now, action_list &log)
{
    std::erase_if(m_states, [&](const auto &each) {
        const backend_record &state = each.second;
        if (!state.vanishesAt || now < *state.vanishesAt) {
            return false;
        }
        log.push_back(runnerLine("runner_gone", state.entry));
        return true;
    });
}

steady_time backend_table::nextExpiry() const
{
    steady_time next = steady_time::max();
    for (const auto &[id, state] : m_states) {
        if (state.vanishesAt) {
            next = std::min(next, *state.vanishesAt);
        }
    }
    return next;
}

std::vector<backend_record *> backend_table::ofService(const service_id &service)
{
    std::vector<backend_record *> found;
    for (auto &[id, state] : m_states) {
        if (state.entry.service == service && state.entry.condition == backend_condition::ready) {
            found.push_back(&state);
        }
    }
    return found;
}

backend_record *backend_table::find(const runner_id &runner)
{
    const auto found = m_states.find(runner);
    return found == m_states.end() ? nullptr : &found->second;
}

std::size_t backend_table::size() const
{
    return m_states.size();
}

void backend_table::attemptStarted(attempt_number attempt, const attempt_load &load)
{
    m_attempts[attempt] = load;
    if (backend_record *state = find(load.runner)) {
        ++state->running;
        state->memoryTokens += load.memoryTokens;
        state->unreadTime += load.unreadTime;
    }
}

const attempt_load *backend_table::firstEvent(attempt_number attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || found->second.hasFirstEvent) {
        return nullptr;
    }
    found->second.hasFirstEvent = true;
    if (backend_record *state = find(found->second.runner)) {
        state->unreadTime -= std::min(state->unreadTime, found->second.unreadTime);
    }
    return &found->second;
}

backend_record *backend_table::attemptEnded(attempt_number attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return nullptr;
    }
    firstEvent(attempt);
    const attempt_load load = found->second;
    m_attempts.erase(found);
    backend_record *state = find(load.runner);
    if (state != nullptr) {
        state->running -= std::min(state->running, 1U);
        state->memoryTokens -= std::min(state->memoryTokens, load.memoryTokens);
    }
    return state;
}

const std::unordered_map<runner_id, backend_record> &backend_table::states() const
{
    return m_states;
}

std::unordered_map<runner_id, backend_record> &backend_table::states()
{
    return m_states;
}

} // namespace crocuslane
