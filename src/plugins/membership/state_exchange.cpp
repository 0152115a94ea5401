#include "plugins/membership/state_exchange.h"

#include "plugins/membership/message_size.h"
#include "plugins/membership/peer_topology.h"

#include <algorithm>
#include <limits>
#include <set>

namespace crocuslane {

namespace {

constexpr std::size_t peersPerRound = 3;
// There the budget of a round holds two or three states, which cost less in one message.
constexpr std::size_t peersPerRoundAtLargeSizes = 1;
constexpr std::uint64_t roundsPerDigest = 8;
// While a connection is missing, this VM depends on what others answer to its digests.
constexpr std::uint64_t roundsPerDigestWithoutConnection = 2;
// Where all VMs are connected with each other, a state comes from its VM itself; it is passed on only to a peer that
// lags this many rounds behind, which shows that the direct way fails.
constexpr std::uint64_t lagOfFailedConnection = 3;
// Older sightings are of no use to any receiver.
constexpr std::chrono::seconds oldestSighting{5};

/// Adds up the bytes of a message within a limit; a name counts the first time that a connection carries it.
class size_counter
{
public:
    size_counter(std::size_t frameBytes, std::size_t limit, std::set<std::string, std::less<>> &sentNames)
        : m_bytes(frameBytes)
        , m_limit(limit)
        , m_sentNames(sentNames)
    {
    }

    bool add(std::size_t bytes, const std::vector<const std::string *> &names)
    {
        std::size_t added = bytes;
        std::set<std::string_view> fresh;
        for (const std::string *name : names) {
            if (!m_sentNames.contains(*name) && fresh.insert(*name).second) {
                added += nameBytes(*name);
            }
        }
        if (m_bytes + added > m_limit) {
            return false;
        }
        m_bytes += added;
        m_sentNames.insert(fresh.begin(), fresh.end());
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
    m_known.erase(peer);
    m_sentNames.erase(peer);
    sendDigest(peer, allowance(peer), actions);
}

void state_exchange::disconnected(const vm_id &peer)
{
    m_known.erase(peer);
    m_sentNames.erase(peer);
}

void state_exchange::noteKnown(const vm_id &peer, const vm_id &id, std::uint64_t incarnation, std::uint64_t counter)
{
    known_state &known = m_known[peer][id];
    if (incarnation != known.incarnation || counter > known.counter) {
        known = {incarnation, counter};
    }
}

bool state_exchange::isRemoteRegion(const vm_id &peer) const
{
    const member_record *record = m_members.find(peer);
    return record != nullptr && record->listed && record->listed->region != m_node.region;
}

std::size_t state_exchange::allowance(const vm_id &peer) const
{
    const std::size_t available = m_budget.available();
    return isRemoteRegion(peer) ? std::min(available, m_regionalBudget.available()) : available;
}

void state_exchange::spend(const vm_id &peer, std::size_t bytes)
{
    m_budget.charge(bytes);
    if (isRemoteRegion(peer)) {
        m_regionalBudget.charge(bytes);
    }
}

bool state_exchange::isComplete() const
{
    return m_members.listedIds().size() <= maximumNeighbours;
}

// Rounds by which the state that the peer is known to have is older; the highest number for none.
std::uint64_t state_exchange::lagOf(const vm_id &peer, const member_state &state) const
{
    constexpr std::uint64_t everything = std::numeric_limits<std::uint64_t>::max();
    const auto ofPeer = m_known.find(peer);
    if (ofPeer == m_known.end()) {
        return everything;
    }
    const auto known = ofPeer->second.find(state.id);
    if (known == ofPeer->second.end() || known->second.incarnation != state.incarnation) {
        return everything;
    }
    return state.counter > known->second.counter ? state.counter - known->second.counter : 0;
}

bool state_exchange::isKnown(const vm_id &peer, const member_state &state, std::uint64_t lag) const
{
    return lagOf(peer, state) <= lag;
}

std::int64_t state_exchange::ageOf(steady_time time) const
{
    // Rounded up, because receivers rely on an upper bound.
    return std::chrono::ceil<std::chrono::milliseconds>(m_time.steadyNow() - time).count();
}

std::vector<vm_id> state_exchange::dealPeers()
{
    std::erase_if(m_deck, [this](const vm_id &peer) { return !m_connections.isConnected(peer); });
    const std::size_t wanted = isComplete() ? peersPerRound : peersPerRoundAtLargeSizes;
    std::vector<vm_id> dealt;
    const std::vector<vm_id> connected = m_connections.connectedPeers();
    while (dealt.size() < std::min(wanted, connected.size())) {
        if (m_deck.empty()) {
            std::vector<vm_id> fresh;
            std::copy_if(connected.begin(), connected.end(), std::back_inserter(fresh), [&dealt](const vm_id &peer) {
                return std::find(dealt.begin(), dealt.end(), peer) == dealt.end();
            });
            shuffle(fresh, m_random);
            m_deck.assign(fresh.begin(), fresh.end());
        }
        dealt.push_back(m_deck.front());
        m_deck.pop_front();
    }
    return dealt;
}

void state_exchange::runRound(const member_state &own, action_list &actions)
{
    m_own = own;
    m_ownMadeAt = m_time.steadyNow();
    m_budget.refill(m_ownMadeAt);
    m_regionalBudget.refill(m_ownMadeAt);
    ++m_round;

    const std::vector<vm_id> peers = dealPeers();
    const relaying relaying = isComplete() ? relaying::none : relaying::all;
    std::vector<vm_id> postponed;
    for (std::size_t index = 0; index < peers.size(); ++index) {
        const std::size_t fairShare = m_budget.available() / (peers.size() - index);
        const std::size_t limit = std::min(allowance(peers[index]), fairShare);
        if (!sendDelta(peers[index], relaying, limit, actions)
            && !sendDelta(peers[index], relaying, allowance(peers[index]), actions)) {
            postponed.push_back(peers[index]);
        }
    }
    // What did not fit comes first when the budget has filled up again.
    m_deck.insert(m_deck.begin(), postponed.begin(), postponed.end());
    if (!peers.empty() && isDigestDue()) {
        sendDigest(peers.front(), allowance(peers.front()), actions);
    }
}

bool state_exchange::isDigestDue() const
{
    const bool isConnectionMissing =
        isComplete() && m_connections.connectedPeers().size() < m_members.listedIds().size();
    return m_round % (isConnectionMissing ? roundsPerDigestWithoutConnection : roundsPerDigest) == 0;
}

// First those that the peer is furthest behind with, so that all states come in turn.
std::vector<const member_record *> state_exchange::statesToRelay(const vm_id &peer, relaying relaying) const
{
    if (relaying == relaying::none) {
        return {};
    }
    const std::uint64_t lag = relaying == relaying::lagging ? lagOfFailedConnection : 0;
    std::vector<std::pair<std::uint64_t, const member_record *>> byLag;
    for (const auto &[id, record] : m_members.records()) {
        if (id != peer && !record.isGone && !record.state.id.isEmpty() && !isKnown(peer, record.state, lag)) {
            byLag.emplace_back(lagOf(peer, record.state), &record);
        }
    }
    // VMs that know as little of the peer as this one must not all send it the same states.
    shuffle(byLag, m_random);
    std::stable_sort(
        byLag.begin(), byLag.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<const member_record *> states;
    states.reserve(byLag.size());
    for (const auto &[behind, record] : byLag) {
        states.push_back(record);
    }
    return states;
}

// All members that were heard lately, but those whose state is in the message, in random order.
std::vector<member_sighting> state_exchange::sightings(const vm_id &peer, const exchange_delta &delta) const
{
    std::set<vm_id> excluded{peer};
    for (const member_state &state : delta.states) {
        excluded.insert(state.id);
    }
    std::vector<member_sighting> found;
    for (const auto &[id, record] : m_members.records()) {
        if (record.aliveAt && m_time.steadyNow() - *record.aliveAt < oldestSighting && !excluded.contains(id)) {
            found.push_back({id, ageOf(*record.aliveAt), record.configurationVersion, record.isStopping});
        }
    }
    shuffle(found, m_random);
    return found;
}

// The state of this VM goes first, then those of others, then sightings. False when not even the first one fits.
bool state_exchange::sendDelta(const vm_id &peer, relaying relaying, std::size_t limit, action_list &actions)
{
    exchange_delta delta;
    size_counter size(deltaFrameBytes, limit, m_sentNames[peer]);
    if (!isKnown(peer, m_own, 0)) {
        if (!size.add(stateBytes(m_own), namesOf(m_own))) {
            return false;
        }
        delta.states.push_back(m_own);
        delta.states.back().ageMilliseconds = ageOf(m_ownMadeAt);
    }
    // A sighting costs a tenth of a state; half of what is left is kept for them.
    const std::size_t forSightings = relaying == relaying::all ? (limit - std::min(limit, size.bytes())) / 2 : 0;
    for (const member_record *record : statesToRelay(peer, relaying)) {
        if (size.bytes() + stateBytes(record->state) > limit - forSightings
            || !size.add(stateBytes(record->state), namesOf(record->state))) {
            continue;
        }
        delta.states.push_back(record->state);
        member_state &copy = delta.states.back();
        copy.ageMilliseconds = ageOf(record->stateMadeAt);
        if (copy.logReadAgeMilliseconds >= 0) {
            copy.logReadAgeMilliseconds += copy.ageMilliseconds;
        }
    }
    std::vector<member_sighting> candidates;
    if (relaying == relaying::all) {
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
        noteKnown(peer, state.id, state.incarnation, state.counter);
    }
    spend(peer, size.bytes());
    actions.push_back(send_to_peer{peer, std::move(delta)});
    return true;
}

void state_exchange::sendDigest(const vm_id &peer, std::size_t limit, action_list &actions)
{
    exchange_digest digest;
    digest.configurationVersion = m_own.configurationVersion;
    size_counter size(digestFrameBytes, limit, m_sentNames[peer]);
    std::vector<const member_state *> states;
    for (const auto &[id, record] : m_members.records()) {
        if (!record.state.id.isEmpty()) {
            states.push_back(&record.state);
        }
    }
    // With a part of the ids in each, all of them come in turn.
    shuffle(states, m_random);
    for (const member_state *state : states) {
        if (!size.add(digestEntryBytes, {&state->id.value()})) {
            break;
        }
        digest.entries.push_back({state->id, state->incarnation, state->counter});
    }
    spend(peer, size.bytes());
    actions.push_back(send_to_peer{peer, std::move(digest)});
}

void state_exchange::digestReceived(const vm_id &peer, const exchange_digest &digest, action_list &actions)
{
    for (const exchange_digest::entry &entry : digest.entries) {
        // Also downwards: the digest tells what the peer really has, where a message to it was lost.
        m_known[peer][entry.id] = {entry.incarnation, entry.counter};
    }
    sendDelta(peer, isComplete() ? relaying::lagging : relaying::all, allowance(peer), actions);
}

} // namespace crocuslane
