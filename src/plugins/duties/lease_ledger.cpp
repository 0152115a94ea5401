#include "plugins/duties/lease_ledger.h"

namespace crocuslane {

lease_ledger::lease_ledger(duration quietPeriod)
    : m_quietPeriod(quietPeriod)
{
}

void lease_ledger::detectGap(const read_batch &batch)
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
    const bool isFirst = duty.isNewestKnown && !duty.lastRecordTime;
    const bool isAfterQuietPeriod = duty.lastRecordTime && appendTime - *duty.lastRecordTime >= m_quietPeriod;
    const bool followsNewest = duty.isNewestKnown && duty.newest && entry.replaces == duty.newest->fencing;
    // The sender had read the replaced lease as the newest one. All records from that lease on were readable here too,
    // so this is the first record that replaces it.
    const bool revealsNewest = !duty.isNewestKnown && entry.replaces > 0 && entry.replaces >= m_readableFrom;
    duty.lastRecordTime = appendTime;
    if (!isFirst && !isAfterQuietPeriod && !followsNewest && !revealsNewest) {
        return false;
    }
    duty.isNewestKnown = true;
    duty.newest = granted_lease{
        offset, entry.vm, entry.incarnation, entry.ticket, std::chrono::milliseconds(entry.durationMilliseconds)};
    return true;
}

const granted_lease *lease_ledger::find(const std::string &duty) const
{
    const auto found = m_duties.find(duty);
    return found == m_duties.end() || !found->second.newest ? nullptr : &*found->second.newest;
}

bool lease_ledger::isNewestKnown(const std::string &duty) const
{
    const auto found = m_duties.find(duty);
    return found == m_duties.end() ? m_readableFrom == 0 : found->second.isNewestKnown;
}

} // namespace crocuslane
