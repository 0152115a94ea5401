#pragma once

#include "base/clock.h"
#include "kernel/peer_message.h"
#include "kernel/types.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace crocuslane {

/// A member that was not heard for this long is gone.
constexpr std::chrono::seconds memberTimeout{5};

/// What is known of one other entry VM.
struct member_record {
    /// Nothing while the VM list, which lags, doesn't have it.
    std::optional<vm_entry> listed;
    /// The VM was alive and had confirmed @c configurationVersion at this time or later; nothing when never heard.
    std::optional<steady_time> aliveAt;
    std::uint64_t configurationVersion = 0;
    bool isStopping = false;
    bool isGone = true;
    /// Last state of it; its id is empty when there was none.
    member_state state;
    steady_time stateMadeAt;

    bool isHeard(steady_time now) const;
};

/// All other entry VMs, of the VM list or heard of.
class member_table
{
public:
    /// Words from before @p startedAt, when this process started, are ignored: what it confirms by them would count
    /// from then on, although the VMs that they are from may have confirmed more before they were restarted themselves.
    member_table(const vm_id &self, steady_time startedAt);

    void setList(const std::vector<vm_entry> &entries);
    /// Word that @p id was alive at @p aliveAt.
    void noteAlive(const vm_id &id, steady_time aliveAt, std::uint64_t configurationVersion, bool isStopping);
    /// Takes a state when it is newer than the last one. @p isDirect: received from the VM itself, which alone decides
    /// which of its incarnations is the current one.
    bool takeState(const member_state &state, steady_time madeAt, bool isDirect);
    /// Ids whose gone mark changed since the last call.
    std::vector<vm_id> updateGone(steady_time now);
    /// Forgets members that are neither listed nor heard.
    void removeStrangers();

    const std::map<vm_id, member_record> &records() const;
    bool isHeard(const vm_id &id, steady_time now) const;
    const member_record *find(const vm_id &id) const;
    /// Ids of the VM list, without this VM.
    std::set<vm_id> listedIds() const;

private:
    vm_id m_self;
    steady_time m_startedAt;
    std::map<vm_id, member_record> m_records;
};

} // namespace crocuslane
