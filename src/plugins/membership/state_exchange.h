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
/// All messages of membership, with the heartbeats.
constexpr double controlBytesPerSecond = 5'000.0;
/// Part of it that may go to VMs of other regions in exchanges.
constexpr double regionalBytesPerSecond = 1'500.0;

/// Epidemic exchange of the states of all entry VMs within a byte budget. What a peer is known to have is not sent to
/// it; a digest tells the peer at the start of a connection, and from time to time in case of a loss.
class state_exchange
{
public:
    state_exchange(const clock &time,
                   random_source &random,
                   const node_identity &node,
                   const member_table &members,
                   const peer_connections &connections);

    /// Counts a message that goes out whatever the budget says.
    void charge(std::size_t bytes);
    /// One round: the new state of this VM and news of others to a few random peers.
    void runRound(const member_state &own, action_list &actions);
    void connected(const vm_id &peer, action_list &actions);
    void disconnected(const vm_id &peer);
    /// The peer has this state.
    void noteKnown(const vm_id &peer, const vm_id &id, std::uint64_t incarnation, std::uint64_t counter);
    void digestReceived(const vm_id &peer, const exchange_digest &digest, action_list &actions);

private:
    /// Which states of other VMs a delta passes on.
    enum class relaying {
        none,
        /// Those that the peer does not get from the VM itself, as its digest shows.
        lagging,
        all,
    };

    struct known_state {
        std::uint64_t incarnation = 0;
        std::uint64_t counter = 0;
    };

    std::size_t allowance(const vm_id &peer) const;
    void spend(const vm_id &peer, std::size_t bytes);
    bool isRemoteRegion(const vm_id &peer) const;
    bool isComplete() const;
    std::uint64_t lagOf(const vm_id &peer, const member_state &state) const;
    bool isKnown(const vm_id &peer, const member_state &state, std::uint64_t lag) const;
    std::vector<const member_record *> statesToRelay(const vm_id &peer, relaying relaying) const;
    std::vector<member_sighting> sightings(const vm_id &peer, const exchange_delta &delta) const;
    bool isDigestDue() const;
    std::vector<vm_id> dealPeers();
    bool sendDelta(const vm_id &peer, relaying relaying, std::size_t limit, action_list &actions);
    void sendDigest(const vm_id &peer, std::size_t limit, action_list &actions);
    std::int64_t ageOf(steady_time time) const;

    const clock &m_time;
    random_source &m_random;
    const node_identity &m_node;
    const member_table &m_members;
    const peer_connections &m_connections;
    byte_budget m_budget{controlBytesPerSecond};
    byte_budget m_regionalBudget{regionalBytesPerSecond};
    member_state m_own;
    steady_time m_ownMadeAt;
    /// Peers in the random order in which they get the next deltas.
    std::deque<vm_id> m_deck;
    std::map<vm_id, std::map<vm_id, known_state>> m_known;
    /// Names that a connection has carried; they cost bytes only the first time.
    std::map<vm_id, std::set<std::string, std::less<>>> m_sentNames;
    std::uint64_t m_round = 0;
};

} // namespace crocuslane
