#pragma once

#include "base/clock.h"
#include "kernel/peer_message.h"
#include "kernel/types.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace crocuslane {

/// A member counts as failed after this time without a sign of life.
constexpr std::chrono::seconds memberTimeout{5};

/// Last received information about one other entry VM.
struct member_record {
    /// Entry of the VM list; nothing while the list, which may lag behind, doesn't contain the VM.
    std::optional<vm_entry> listEntry;
    /// The VM was alive and had confirmed @c configurationVersion at this time or later; nothing before the first sign
    /// of life.
    std::optional<steady_time> aliveTime;
    std::uint64_t configurationVersion = 0;
    bool isStopping = false;
    bool isTimedOut = true;
    /// Last received state; its id is empty before the first one.
    member_state state;
    steady_time stateCreatedAt;

    /// Whether the last sign of life is at most memberTimeout old.
    bool isAlive(steady_time now) const;
};

/// All other entry VMs that are in the VM list or sent a sign of life.
class member_table
{
public:
    /// Signs of life from before @p startedAt, the start of this process, are ignored. Otherwise this process could
    /// confirm a version by old reports, although their senders had confirmed a newer one before they restarted.
    member_table(const vm_id &self, steady_time startedAt);

    void setVmList(const std::vector<vm_entry> &entries);
    /// Records that @p id was alive at @p aliveTime, unless a later time is recorded.
    void recordAlive(const vm_id &id, steady_time aliveTime, std::uint64_t configurationVersion, bool isStopping);
    /// Stores a state if it is newer than the last one; returns whether it was stored. A state that was received from
    /// its VM itself (@p isDirect) is newer whenever its incarnation differs, because only the VM knows the current
    /// one.
    bool updateState(const member_state &state, steady_time createdAt, bool isDirect);
    /// Updates member_record::isTimedOut and returns the ids of the members for which it changed.
    std::vector<vm_id> updateTimeouts(steady_time now);
    /// Removes members that are neither in the VM list nor alive.
    void removeObsolete();

    const std::map<vm_id, member_record> &records() const;
    bool isAlive(const vm_id &id, steady_time now) const;
    const member_record *find(const vm_id &id) const;
    /// Ids of the entry VMs in the VM list, without this VM.
    std::set<vm_id> listedIds() const;

private:
    vm_id m_self;
    steady_time m_startedAt;
    std::map<vm_id, member_record> m_records;
};

} // namespace crocuslane
