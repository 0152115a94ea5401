#include "plugins/membership/member_table.h"

namespace crocuslane {

namespace {

// Incarnations grow with each start of a process, so a relayed state of a lower one is from before a restart.
bool isNewer(const member_state &candidate, const member_state &known, bool isDirect)
{
    if (known.id.isEmpty()) {
        return true;
    }
    if (candidate.incarnation != known.incarnation) {
        return isDirect || candidate.incarnation > known.incarnation;
    }
    return candidate.counter > known.counter;
}

} // namespace

bool member_record::isHeard(steady_time now) const
{
    return aliveAt && now - *aliveAt <= memberTimeout;
}

member_table::member_table(const vm_id &self, steady_time startedAt)
    : m_self(self)
    , m_startedAt(startedAt)
{
}

void member_table::setList(const std::vector<vm_entry> &entries)
{
    for (auto &[id, record] : m_records) {
        record.listed.reset();
    }
    for (const vm_entry &entry : entries) {
        if (entry.role == vm_role::entry && entry.id != m_self.value()) {
            m_records[vm_id(entry.id)].listed = entry;
        }
    }
    removeStrangers();
}

void member_table::noteAlive(const vm_id &id, steady_time aliveAt, std::uint64_t configurationVersion, bool isStopping)
{
    if (id == m_self || aliveAt < m_startedAt) {
        return;
    }
    member_record &record = m_records[id];
    if (!record.aliveAt || aliveAt >= *record.aliveAt) {
        record.aliveAt = aliveAt;
        // Not the highest ever: a VM that restarted has forgotten what it confirmed.
        record.configurationVersion = configurationVersion;
        record.isStopping = isStopping;
    }
}

bool member_table::takeState(const member_state &state, steady_time madeAt, bool isDirect)
{
    if (state.id == m_self || state.id.isEmpty() || madeAt < m_startedAt) {
        return false;
    }
    member_record &record = m_records[state.id];
    if (!isNewer(state, record.state, isDirect)) {
        return false;
    }
    record.state = state;
    record.stateMadeAt = madeAt;
    noteAlive(state.id, madeAt, state.configurationVersion, state.isStopping);
    return true;
}

std::vector<vm_id> member_table::updateGone(steady_time now)
{
    std::vector<vm_id> changed;
    for (auto &[id, record] : m_records) {
        const bool isGone = !record.isHeard(now);
        if (isGone != record.isGone) {
            record.isGone = isGone;
            changed.push_back(id);
        }
    }
    return changed;
}

void member_table::removeStrangers()
{
    std::erase_if(m_records, [](const auto &entry) { return !entry.second.listed && entry.second.isGone; });
}

const std::map<vm_id, member_record> &member_table::records() const
{
    return m_records;
}

bool member_table::isHeard(const vm_id &id, steady_time now) const
{
    const member_record *record = find(id);
    return record != nullptr && record->isHeard(now);
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
        if (record.listed) {
            ids.insert(id);
        }
    }
    return ids;
}

} // namespace crocuslane
