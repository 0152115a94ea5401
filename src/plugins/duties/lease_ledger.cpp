#include "plugins/duties/lease_ledger.h"

namespace crocuslane {

lease_ledger::lease_ledger(duration quietTime)
    : m_quietTime(quietTime)
{
}

void lease_ledger::noteBatch(const read_batch &batch)
{
    if (!batch.hasGap) {
        return;
    }
    m_readableFrom = batch.readableFrom;
    m_readableSince = batch.appendTimeAfterGap;
    for (auto &[duty, state] : m_duties) {
        state = {std::nullopt, false, m_readableSince};
    }
}

lease_ledger::duty_state &lease_ledger::state(const std::string &duty)
{
    const auto [entry, isNew] = m_duties.try_emplace(duty);
    if (isNew && m_readableFrom > 0) {
        entry->second = {std::nullopt, false, m_readableSince};
    }
    return entry->second;
}

bool lease_ledger::add(const lease_entry &entry, log_offset offset, system_time appendTime)
{
    duty_state &duty = state(entry.duty);
    const bool isFirst = duty.isKnown && !duty.lastRecord;
    const bool isAfterQuiet = duty.lastRecord && appendTime - *duty.lastRecord >= m_quietTime;
    const bool followsNewest = duty.isKnown && duty.newest && entry.replaces == duty.newest->fencing;
    // The author read the lease that it follows as the newest one. That record was readable here too, so this is the
    // first record to follow it.
    const bool revealsNewest = !duty.isKnown && entry.replaces > 0 && entry.replaces >= m_readableFrom;
    duty.lastRecord = appendTime;
    if (!isFirst && !isAfterQuiet && !followsNewest && !revealsNewest) {
        return false;
    }
    duty.isKnown = true;
    duty.newest = known_lease{
        offset, entry.vm, entry.incarnation, entry.ticket, std::chrono::milliseconds(entry.durationMilliseconds)};
    return true;
}

const known_lease *lease_ledger::find(const std::string &duty) const
{
    const auto found = m_duties.find(duty);
    return found == m_duties.end() || !found->second.newest ? nullptr : &*found->second.newest;
}

bool lease_ledger::isKnown(const std::string &duty) const
{
    const auto found = m_duties.find(duty);
    return found == m_duties.end() ? m_readableFrom == 0 : found->second.isKnown;
}

} // namespace crocuslane
