#include "plugins/membership/peer_connections.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::chrono::seconds connectTimeout{4};
constexpr std::chrono::milliseconds retryDelay{200};
// Peers of a VM that restarts must not all connect in the same instant.
constexpr std::chrono::milliseconds retrySpread{400};
constexpr std::size_t maximumUnechoed = 64;

} // namespace

peer_connections::peer_connections(const clock &time, random_source &random)
    : m_time(time)
    , m_random(random)
{
}

void peer_connections::setWanted(std::map<vm_id, endpoint> wanted, action_list &actions)
{
    for (const auto &[peer, endpoint] : m_wanted) {
        // The opener closes: it alone knows that it won't be opened again at once.
        if (endpoint.isOpener && !wanted.contains(peer)) {
            m_connecting.erase(peer);
            m_retryAt.erase(peer);
            if (m_open.erase(peer) > 0) {
                actions.push_back(disconnect_peer{peer});
            }
        }
    }
    m_wanted = std::move(wanted);
    openMissing(actions);
}

void peer_connections::connected(const vm_id &peer)
{
    open_connection fresh;
    fresh.lastMessage = m_time.steadyNow();
    m_open[peer] = std::move(fresh);
    m_connecting.erase(peer);
    m_retryAt.erase(peer);
}

void peer_connections::disconnected(const vm_id &peer)
{
    m_open.erase(peer);
    m_connecting.erase(peer);
    scheduleRetry(peer);
}

void peer_connections::scheduleRetry(const vm_id &peer)
{
    const std::chrono::milliseconds spread(m_random.below(retrySpread.count()));
    m_retryAt[peer] = m_time.steadyNow() + retryDelay + spread;
}

void peer_connections::messageReceived(const vm_id &peer)
{
    const auto found = m_open.find(peer);
    if (found != m_open.end()) {
        found->second.lastMessage = m_time.steadyNow();
    }
}

void peer_connections::heartbeatReceived(const vm_id &peer, const heartbeat &message)
{
    const auto found = m_open.find(peer);
    if (found == m_open.end()) {
        return;
    }
    open_connection &connection = found->second;
    connection.receivedSequence = std::max(connection.receivedSequence, message.sequence);
    if (message.echoedSequence >= connection.nextSequence) {
        return;
    }
    while (!connection.unechoed.empty() && connection.unechoed.front().sequence <= message.echoedSequence) {
        connection.echoedSentAt = connection.unechoed.front().at;
        connection.unechoed.pop_front();
    }
}

void peer_connections::maintain(action_list &actions)
{
    const steady_time now = m_time.steadyNow();
    // After a pause of this process, what peers sent meanwhile is still to be read: count the silence from here.
    const bool wasPaused = m_lastMaintained != steady_time() && now - m_lastMaintained > connectionSilence / 2;
    m_lastMaintained = now;
    std::vector<vm_id> silent;
    for (auto &[peer, connection] : m_open) {
        if (wasPaused) {
            connection.lastMessage = now;
        }
        if (now - connection.lastMessage >= connectionSilence) {
            silent.push_back(peer);
        }
    }
    for (const vm_id &peer : silent) {
        m_open.erase(peer);
        scheduleRetry(peer);
        actions.push_back(disconnect_peer{peer});
    }
    openMissing(actions);
}

void peer_connections::openMissing(action_list &actions)
{
    const steady_time now = m_time.steadyNow();
    for (const auto &[peer, endpoint] : m_wanted) {
        const auto connecting = m_connecting.find(peer);
        const auto retry = m_retryAt.find(peer);
        if (!endpoint.isOpener || endpoint.address.empty() || m_open.contains(peer)
            || (connecting != m_connecting.end() && now < connecting->second)
            || (retry != m_retryAt.end() && now < retry->second)) {
            continue;
        }
        m_retryAt.erase(peer);
        m_connecting[peer] = now + connectTimeout;
        actions.push_back(connect_peer{peer, endpoint.address});
    }
}

void peer_connections::sendHeartbeat(const vm_id &peer,
                                     std::uint64_t configurationVersion,
                                     bool isStopping,
                                     action_list &actions)
{
    open_connection &connection = m_open.at(peer);
    const std::uint64_t sequence = connection.nextSequence++;
    connection.unechoed.push_back({sequence, m_time.steadyNow()});
    if (connection.unechoed.size() > maximumUnechoed) {
        connection.unechoed.pop_front();
    }
    actions.push_back(
        send_to_peer{peer, heartbeat{sequence, configurationVersion, isStopping, connection.receivedSequence}});
}

bool peer_connections::isConnected(const vm_id &peer) const
{
    return m_open.contains(peer);
}

std::vector<vm_id> peer_connections::connectedPeers() const
{
    std::vector<vm_id> peers;
    for (const auto &[peer, connection] : m_open) {
        peers.push_back(peer);
    }
    return peers;
}

std::optional<steady_time> peer_connections::sentAfter(const vm_id &peer) const
{
    const auto found = m_open.find(peer);
    return found == m_open.end() ? std::nullopt : found->second.echoedSentAt;
}

} // namespace crocuslane
