#include "plugins/membership/member_table.h"

namespace crocuslane {

namespace {

// The incarnation increases with each start of a process, so a relayed state with a lower one is from before a restart.
bool isNewer(const member_state &candidate, const member_state &current, bool isDirect)
{
    if (current.id.isEmpty()) {
        return true;
    }
    if (candidate.incarnation != current.incarnation) {
        return isDirect || candidate.incarnation > current.incarnation;
    }
    return candidate.counter > current.counter;
}

} // namespace

bool member_record::isAlive(steady_time now) const
{
    return aliveTime && now - *aliveTime <= memberTimeout;
}

member_table::member_table(const vm_id &self, steady_time startedAt)
    : m_self(self)
    , m_startedAt(startedAt)
{
}

void member_table::setVmList(const std::vector<vm_entry> &entries)
{
    for (auto &[id, record] : m_records) {
        record.listEntry.reset();
    }
    for (const vm_entry &entry : entries) {
        if (entry.role == vm_role::entry && entry.id != m_self.value()) {
            m_records[vm_id(entry.id)].listEntry = entry;
        }
    }
    removeObsolete();
}

void member_table::recordAlive(const vm_id &id,
                               steady_time aliveTime,
                               std::uint64_t configurationVersion,
                               bool isStopping)
{
    if (id == m_self || aliveTime < m_startedAt) {
        return;
    }
    member_record &record = m_records[id];
    if (!record.aliveTime || aliveTime >= *record.aliveTime) {
        record.aliveTime = aliveTime;
        // Not the maximum: a VM that restarted has lost the versions that it confirmed before.
        record.configurationVersion = configurationVersion;
        record.isStopping = isStopping;
    }
}

bool member_table::updateState(const member_state &state, steady_time createdAt, bool isDirect)
{
    if (state.id == m_self || state.id.isEmpty() || createdAt < m_startedAt) {
        return false;
    }
    member_record &record = m_records[state.id];
    if (!isNewer(state, record.state, isDirect)) {
        return false;
    }
    record.state = state;
    record.stateCreatedAt = createdAt;
    recordAlive(state.id, createdAt, state.configurationVersion, state.isStopping);
    return true;
}

std::vector<vm_id> member_table::updateTimeouts(steady_time now)
{
    std::vector<vm_id> changed;
    for (auto &[id, record] : m_records) {
        const bool isTimedOut = !record.isAlive(now);
        if (isTimedOut != record.isTimedOut) {
            record.isTimedOut = isTimedOut;
            changed.push_back(id);
        }
    }
    return changed;
}

void member_table::removeObsolete()
{
    std::erase_if(m_records, [](const auto &entry) { return !entry.second.listEntry && entry.second.isTimedOut; });
}

const std::map<vm_id, member_record> &member_table::records() const
{
    return m_records;
}

bool member_table::isAlive(const vm_id &id, steady_time now) const
{
    const member_record *record = find(id);
    return record != nullptr && record->isAlive(now);
}

const member_record *member_table::find(const vm_id &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

std::set<vm_id> member_table::listedIds() const
{
    std::set<vm_id> ids;
    for (const auto &[id, record] : m_records) {
        if (record.listEntry) {
            ids.insert(id);
        }
    }
    return ids;
}

} // namespace crocuslane
