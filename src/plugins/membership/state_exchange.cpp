#include "plugins/membership/state_exchange.h"

#include "plugins/membership/message_size.h"
#include "plugins/membership/peer_topology.h"

#include <algorithm>
#include <limits>
#include <set>

namespace crocuslane {

namespace {

constexpr std::size_t peersPerRound = 3;
// In a partial mesh the budget of a round fits two or three states, which take fewer bytes in one message.
constexpr std::size_t peersPerRoundInPartialMesh = 1;
constexpr std::uint64_t roundsPerDigest = 8;
// Without a direct connection, this VM receives the state of that peer only in answers to its digests.
constexpr std::uint64_t roundsPerDigestWithMissingConnection = 2;
// In a full mesh each VM sends its state to all others directly. A state is relayed only to a peer that lags this many
// rounds behind, which indicates that the direct connection has failed.
constexpr std::uint64_t failedConnectionLagRounds = 3;
// Older sightings are useless to receivers, which treat the member as failed after memberTimeout.
constexpr std::chrono::seconds maximumSightingAge{5};

/// Adds up the size of a message within a limit. A name counts only if it was not sent on the connection before.
class size_counter
{
public:
    size_counter(std::size_t frameBytes, std::size_t limit, std::set<std::string, std::less<>> &sentNames)
        : m_bytes(frameBytes)
        , m_limit(limit)
        , m_sentNames(sentNames)
    {
    }

    /// False, without effect, when the addition would exceed the limit.
    bool add(std::size_t bytes, const std::vector<const std::string *> &names)
    {
        std::size_t added = bytes;
        std::set<std::string_view> newNames;
        for (const std::string *name : names) {
            if (!m_sentNames.contains(*name) && newNames.insert(*name).second) {
                added += nameBytes(*name);
            }
        }
        if (m_bytes + added > m_limit) {
            return false;
        }
        m_bytes += added;
        m_sentNames.insert(newNames.begin(), newNames.end());
        return true;
    }

    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    std::size_t m_bytes;
    std::size_t m_limit;
    std::set<std::string, std::less<>> &m_sentNames;
};

std::vector<const std::string *> namesOf(const member_state &state)
{
    std::vector<const std::string *> names{&state.id.value()};
    for (const group_demand &demand : state.demand) {
        names.push_back(&demand.group.value());
    }
    for (const runner_use &use : state.runners) {
        names.push_back(&use.runner.value());
    }
    return names;
}

template<typename element>
void shuffle(std::vector<element> &elements, random_source &random)
{
    for (std::size_t index = elements.size(); index > 1; --index) {
        std::swap(elements[index - 1], elements[random.below(index)]);
    }
}

} // namespace

state_exchange::state_exchange(const clock &time,
                               random_source &random,
                               const node_identity &node,
                               const member_table &members,
                               const peer_connections &connections)
    : m_time(time)
    , m_random(random)
    , m_node(node)
    , m_members(members)
    , m_connections(connections)
{
}

void state_exchange::charge(std::size_t bytes)
{
    m_budget.charge(bytes);
}

void state_exchange::connected(const vm_id &peer, action_list &actions)
{
    m_peerVersions.erase(peer);
    m_sentNames.erase(peer);
    sendDigest(peer, allowance(peer), actions);
}

void state_exchange::disconnected(const vm_id &peer)
{
    m_peerVersions.erase(peer);
    m_sentNames.erase(peer);
}

void state_exchange::recordPeerState(const vm_id &peer,
                                     const vm_id &id,
                                     std::uint64_t incarnation,
                                     std::uint64_t counter)
{
    state_version &version = m_peerVersions[peer][id];
    if (incarnation != version.incarnation || counter > version.counter) {
        version = {incarnation, counter};
    }
}

bool state_exchange::isRemoteRegion(const vm_id &peer) const
{
    const member_record *record = m_members.find(peer);
    return record != nullptr && record->listEntry && record->listEntry->region != m_node.region;
}

std::size_t state_exchange::allowance(const vm_id &peer) const
{
    const std::size_t available = m_budget.available();
    return isRemoteRegion(peer) ? std::min(available, m_regionalBudget.available()) : available;
}

void state_exchange::chargeFor(const vm_id &peer, std::size_t bytes)
{
    m_budget.charge(bytes);
    if (isRemoteRegion(peer)) {
        m_regionalBudget.charge(bytes);
    }
}

bool state_exchange::isFullMesh() const
{
    return m_members.listedIds().size() <= maximumNeighbours;
}

// Number of rounds by which the state that the peer is known to have is older; the maximum if it is known to have none.
std::uint64_t state_exchange::lagOf(const vm_id &peer, const member_state &state) const
{
    constexpr std::uint64_t unknownLag = std::numeric_limits<std::uint64_t>::max();
    const auto ofPeer = m_peerVersions.find(peer);
    if (ofPeer == m_peerVersions.end()) {
        return unknownLag;
    }
    const auto version = ofPeer->second.find(state.id);
    if (version == ofPeer->second.end() || version->second.incarnation != state.incarnation) {
        return unknownLag;
    }
    return state.counter > version->second.counter ? state.counter - version->second.counter : 0;
}

bool state_exchange::peerHasState(const vm_id &peer, const member_state &state, std::uint64_t maximumLag) const
{
    return lagOf(peer, state) <= maximumLag;
}

std::int64_t state_exchange::ageOf(steady_time time) const
{
    // Rounded up, because receivers rely on the age as an upper bound.
    return std::chrono::ceil<std::chrono::milliseconds>(m_time.steadyNow() - time).count();
}

std::vector<vm_id> state_exchange::nextPeers()
{
    std::erase_if(m_peerQueue, [this](const vm_id &peer) { return !m_connections.isConnected(peer); });
    const std::size_t count = isFullMesh() ? peersPerRound : peersPerRoundInPartialMesh;
    std::vector<vm_id> selected;
    const std::vector<vm_id> connected = m_connections.connectedPeers();
    while (selected.size() < std::min(count, connected.size())) {
        if (m_peerQueue.empty()) {
            std::vector<vm_id> shuffled;
            std::copy_if(
                connected.begin(), connected.end(), std::back_inserter(shuffled), [&selected](const vm_id &peer) {
                    return std::find(selected.begin(), selected.end(), peer) == selected.end();
                });
            shuffle(shuffled, m_random);
            m_peerQueue.assign(shuffled.begin(), shuffled.end());
        }
        selected.push_back(m_peerQueue.front());
        m_peerQueue.pop_front();
    }
    return selected;
}

void state_exchange::runRound(const member_state &own, action_list &actions)
{
    m_ownState = own;
    m_ownStateCreatedAt = m_time.steadyNow();
    m_budget.refill(m_ownStateCreatedAt);
    m_regionalBudget.refill(m_ownStateCreatedAt);
    ++m_round;

    const std::vector<vm_id> peers = nextPeers();
    const relay_mode relayMode = isFullMesh() ? relay_mode::none : relay_mode::all;
    std::vector<vm_id> postponed;
    for (std::size_t index = 0; index < peers.size(); ++index) {
        const std::size_t fairShare = m_budget.available() / (peers.size() - index);
        const std::size_t limit = std::min(allowance(peers[index]), fairShare);
        if (!sendDelta(peers[index], relayMode, limit, actions)
            && !sendDelta(peers[index], relayMode, allowance(peers[index]), actions)) {
            postponed.push_back(peers[index]);
        }
    }
    // Peers whose delta did not fit into the budget come first in the next round.
    m_peerQueue.insert(m_peerQueue.begin(), postponed.begin(), postponed.end());
    if (!peers.empty() && isDigestDue()) {
        sendDigest(peers.front(), allowance(peers.front()), actions);
    }
}

bool state_exchange::isDigestDue() const
{
    const bool isConnectionMissing =
        isFullMesh() && m_connections.connectedPeers().size() < m_members.listedIds().size();
    return m_round % (isConnectionMissing ? roundsPerDigestWithMissingConnection : roundsPerDigest) == 0;
}

// States for which the peer lags most come first, so that every state gets its turn.
std::vector<const member_record *> state_exchange::statesToRelay(const vm_id &peer, relay_mode relayMode) const
{
    if (relayMode == relay_mode::none) {
        return {};
    }
    const std::uint64_t maximumLag = relayMode == relay_mode::lagging ? failedConnectionLagRounds : 0;
    std::vector<std::pair<std::uint64_t, const member_record *>> byLag;
    for (const auto &[id, record] : m_members.records()) {
        if (id != peer && !record.isTimedOut && !record.state.id.isEmpty()
            && !peerHasState(peer, record.state, maximumLag)) {
            byLag.emplace_back(lagOf(peer, record.state), &record);
        }
    }
    // Random order among equal lags, so that several VMs do not all send the same states to the peer.
    shuffle(byLag, m_random);
    std::stable_sort(
        byLag.begin(), byLag.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<const member_record *> states;
    states.reserve(byLag.size());
    for (const auto &[lag, record] : byLag) {
        states.push_back(record);
    }
    return states;
}

// Sightings of all recently alive members except those whose state is in the message, in random order.
std::vector<member_sighting> state_exchange::sightings(const vm_id &peer, const exchange_delta &delta) const
{
    std::set<vm_id> excluded{peer};
    for (const member_state &state : delta.states) {
        excluded.insert(state.id);
    }
    std::vector<member_sighting> result;
    for (const auto &[id, record] : m_members.records()) {
        if (record.aliveTime && m_time.steadyNow() - *record.aliveTime < maximumSightingAge && !excluded.contains(id)) {
            result.push_back({id, ageOf(*record.aliveTime), record.configurationVersion, record.isStopping});
        }
    }
    shuffle(result, m_random);
    return result;
}

// Adds the state of this VM, then states of others, then sightings. False when not even the own state fits.
bool state_exchange::sendDelta(const vm_id &peer, relay_mode relayMode, std::size_t limit, action_list &actions)
{
    exchange_delta delta;
    size_counter size(deltaFrameBytes, limit, m_sentNames[peer]);
    if (!peerHasState(peer, m_ownState, 0)) {
        if (!size.add(stateBytes(m_ownState), namesOf(m_ownState))) {
            return false;
        }
        delta.states.push_back(m_ownState);
        delta.states.back().ageMilliseconds = ageOf(m_ownStateCreatedAt);
    }
    // A sighting takes a tenth of the bytes of a state; half of the remaining bytes is reserved for sightings.
    const std::size_t sightingReserve = relayMode == relay_mode::all ? (limit - std::min(limit, size.bytes())) / 2 : 0;
    for (const member_record *record : statesToRelay(peer, relayMode)) {
        if (size.bytes() + stateBytes(record->state) > limit - sightingReserve
            || !size.add(stateBytes(record->state), namesOf(record->state))) {
            continue;
        }
        delta.states.push_back(record->state);
        member_state &copy = delta.states.back();
        copy.ageMilliseconds = ageOf(record->stateCreatedAt);
        if (copy.logReadAgeMilliseconds >= 0) {
            copy.logReadAgeMilliseconds += copy.ageMilliseconds;
        }
    }
    std::vector<member_sighting> candidates;
    if (relayMode == relay_mode::all) {
        candidates = sightings(peer, delta);
    }
    for (member_sighting &sighting : candidates) {
        if (!size.add(sightingBytes, {&sighting.id.value()})) {
            break;
        }
        delta.sightings.push_back(std::move(sighting));
    }
    if (delta.states.empty() && delta.sightings.empty()) {
        return true;
    }
    for (const member_state &state : delta.states) {
        recordPeerState(peer, state.id, state.incarnation, state.counter);
    }
    chargeFor(peer, size.bytes());
    actions.push_back(send_to_peer{peer, std::move(delta)});
    return true;
}

void state_exchange::sendDigest(const vm_id &peer, std::size_t limit, action_list &actions)
{
    exchange_digest digest;
    digest.configurationVersion = m_ownState.configurationVersion;
    size_counter size(digestFrameBytes, limit, m_sentNames[peer]);
    std::vector<const member_state *> states;
    for (const auto &[id, record] : m_members.records()) {
        if (!record.state.id.isEmpty()) {
            states.push_back(&record.state);
        }
    }
    // If a digest fits only a part of the ids, random order includes each of them over time.
    shuffle(states, m_random);
    for (const member_state *state : states) {
        if (!size.add(digestEntryBytes, {&state->id.value()})) {
            break;
        }
        digest.entries.push_back({state->id, state->incarnation, state->counter});
    }
    chargeFor(peer, size.bytes());
    actions.push_back(send_to_peer{peer, std::move(digest)});
}

void state_exchange::digestReceived(const vm_id &peer, const exchange_digest &digest, action_list &actions)
{
    for (const exchange_digest::entry &entry : digest.entries) {
        // Also to a lower counter: when a message was lost, the digest shows the state that the peer really has.
        m_peerVersions[peer][entry.id] = {entry.incarnation, entry.counter};
    }
    sendDelta(peer, isFullMesh() ? relay_mode::lagging : relay_mode::all, allowance(peer), actions);
}

} // namespace crocuslane
