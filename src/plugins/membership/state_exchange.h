#pragma once

#include "base/random_source.h"
#include "kernel/action.h"
#include "plugins/membership/byte_budget.h"
#include "plugins/membership/member_table.h"
#include "plugins/membership/peer_connections.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocuslane {

constexpr std::chrono::milliseconds exchangeInterval{500};
/// Budget for all membership messages of this VM, heartbeats included.
constexpr double controlBytesPerSecond = 5'000.0;
/// Part of the budget that exchange messages to VMs of other regions may use.
constexpr double regionalBytesPerSecond = 1'500.0;

/// Epidemic exchange of the states of all entry VMs within a byte budget.
///
/// States that a peer already has are not sent to it again. Each side sends a digest of the states that it has when a
/// connection starts, and repeats it periodically in case a message was lost.
class state_exchange
{
public:
    state_exchange(const clock &time,
                   random_source &random,
                   const node_identity &node,
                   const member_table &members,
                   const peer_connections &connections);

    /// Charges the budget for a message that is sent even if the budget is exhausted.
    void charge(std::size_t bytes);
    /// Sends the new state of this VM, and newer states of others, to a few random peers.
    void runRound(const member_state &own, action_list &actions);
    void connected(const vm_id &peer, action_list &actions);
    void disconnected(const vm_id &peer);
    /// Records that @p peer has the state of @p id with this incarnation and counter.
    void recordPeerState(const vm_id &peer, const vm_id &id, std::uint64_t incarnation, std::uint64_t counter);
    void digestReceived(const vm_id &peer, const exchange_digest &digest, action_list &actions);

private:
    /// Which states of other VMs a delta relays.
    enum class relay_mode {
        none,
        /// States that the peer does not receive from their VM directly, as its digest shows.
        lagging,
        all,
    };

    struct state_version {
        std::uint64_t incarnation = 0;
        std::uint64_t counter = 0;
    };

    std::size_t allowance(const vm_id &peer) const;
    void chargeFor(const vm_id &peer, std::size_t bytes);
    bool isRemoteRegion(const vm_id &peer) const;
    /// Whether all listed VMs are to be connected with each other.
    bool isFullMesh() const;
    std::uint64_t lagOf(const vm_id &peer, const member_state &state) const;
    bool peerHasState(const vm_id &peer, const member_state &state, std::uint64_t maximumLag) const;
    std::vector<const member_record *> statesToRelay(const vm_id &peer, relay_mode relayMode) const;
    std::vector<member_sighting> sightings(const vm_id &peer, const exchange_delta &delta) const;
    bool isDigestDue() const;
    std::vector<vm_id> nextPeers();
    bool sendDelta(const vm_id &peer, relay_mode relayMode, std::size_t limit, action_list &actions);
    void sendDigest(const vm_id &peer, std::size_t limit, action_list &actions);
    /// In milliseconds, rounded up.
    std::int64_t ageOf(steady_time time) const;

    const clock &m_time;
    random_source &m_random;
    const node_identity &m_node;
    const member_table &m_members;
    const peer_connections &m_connections;
    byte_budget m_budget{controlBytesPerSecond};
    byte_budget m_regionalBudget{regionalBytesPerSecond};
    member_state m_ownState;
    steady_time m_ownStateCreatedAt;
    /// Peers in random order; each round sends deltas to the first ones.
    std::deque<vm_id> m_peerQueue;
    /// Newest states that each peer is known to have, by VM.
    std::map<vm_id, std::map<vm_id, state_version>> m_peerVersions;
    /// Names already sent on the connection to each peer; a name takes bytes only the first time.
    std::map<vm_id, std::set<std::string, std::less<>>> m_sentNames;
    std::uint64_t m_round = 0;
};

} // namespace crocuslane
