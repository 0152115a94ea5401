#include "plugins/backends/gone_runners.h"

namespace crocuslane {

namespace {

// A copy is some seconds old, and the platform removes the entry of a process that doesn't report within seconds.
constexpr std::chrono::seconds goneLifetime{60};
constexpr std::size_t maximumRunners = 4096;

} // namespace

void gone_runners::add(const backend_entry &entry, log_epoch epoch, steady_time now)
{
    remove(entry.id);
    const std::uint64_t number = m_nextNumber++;
    m_runners.emplace(entry.id, gone_runner{entry, entry_history(epoch), now, number});
    m_order.emplace(number, entry.id);
    expire(now);
}

void gone_runners::remove(const runner_id &runner)
{
    const auto found = m_runners.find(runner);
    if (found == m_runners.end()) {
        return;
    }
    m_order.erase(found->second.number);
    m_runners.erase(found);
}

entry_history::age gone_runners::compare(const backend_entry &listed, log_epoch epoch, bool isFirstOfEpoch)
{
    const auto found = m_runners.find(listed.id);
    if (found == m_runners.end()) {
        return entry_history::age::newer;
    }
    return found->second.history.compareWithGone(found->second.entry, listed, epoch, isFirstOfEpoch);
}

void gone_runners::expire(steady_time now)
{
    while (!m_order.empty()) {
        const auto oldest = m_runners.find(m_order.begin()->second);
        if (m_runners.size() <= maximumRunners && now - oldest->second.goneAt < goneLifetime) {
            return;
        }
        m_runners.erase(oldest);
        m_order.erase(m_order.begin());
    }
}

} // namespace crocuslane
