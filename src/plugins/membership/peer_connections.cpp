#include "plugins/membership/peer_connections.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::chrono::seconds connectTimeout{4};
constexpr std::chrono::milliseconds retryDelay{200};
// Peers of a restarted VM must not all reconnect at the same time.
constexpr std::chrono::milliseconds retryJitter{400};
constexpr std::size_t maximumUnechoedHeartbeats = 64;

} // namespace

peer_connections::peer_connections(const clock &time, random_source &random)
    : m_time(time)
    , m_random(random)
{
}

void peer_connections::setEndpoints(std::map<vm_id, endpoint> endpoints, action_list &actions)
{
    for (const auto &[peer, endpoint] : m_endpoints) {
        // Only the opener closes a connection, because the other side can't prevent that it is reopened at once.
        if (endpoint.isOpener && !endpoints.contains(peer)) {
            m_connectDeadlines.erase(peer);
            m_retryTimes.erase(peer);
            if (m_openConnections.erase(peer) > 0) {
                actions.push_back(disconnect_peer{peer});
            }
        }
    }
    m_endpoints = std::move(endpoints);
    openMissingConnections(actions);
}

void peer_connections::connected(const vm_id &peer)
{
    open_connection connection;
    connection.lastMessageTime = m_time.steadyNow();
    m_openConnections[peer] = std::move(connection);
    m_connectDeadlines.erase(peer);
    m_retryTimes.erase(peer);
}

void peer_connections::disconnected(const vm_id &peer)
{
    m_openConnections.erase(peer);
    m_connectDeadlines.erase(peer);
    scheduleRetry(peer);
}

void peer_connections::scheduleRetry(const vm_id &peer)
{
    const std::chrono::milliseconds spread(m_random.below(retryJitter.count()));
    m_retryTimes[peer] = m_time.steadyNow() + retryDelay + spread;
}

void peer_connections::messageReceived(const vm_id &peer)
{
    const auto found = m_openConnections.find(peer);
    if (found != m_openConnections.end()) {
        found->second.lastMessageTime = m_time.steadyNow();
    }
}

void peer_connections::heartbeatReceived(const vm_id &peer, const heartbeat &message)
{
    const auto found = m_openConnections.find(peer);
    if (found == m_openConnections.end()) {
        return;
    }
    open_connection &connection = found->second;
    connection.receivedSequence = std::max(connection.receivedSequence, message.sequence);
    if (message.echoedSequence >= connection.nextSequence) {
        return;
    }
    while (!connection.unechoed.empty() && connection.unechoed.front().sequence <= message.echoedSequence) {
        connection.echoedSentAt = connection.unechoed.front().sentAt;
        connection.unechoed.pop_front();
    }
}

void peer_connections::maintain(action_list &actions)
{
    const steady_time now = m_time.steadyNow();
    // After a pause of this process, messages that peers sent meanwhile are still unread: restart the timeouts.
    const bool wasPaused = m_lastMaintenance != steady_time() && now - m_lastMaintenance > silenceTimeout / 2;
    m_lastMaintenance = now;
    std::vector<vm_id> silentPeers;
    for (auto &[peer, connection] : m_openConnections) {
        if (wasPaused) {
            connection.lastMessageTime = now;
        }
        if (now - connection.lastMessageTime >= silenceTimeout) {
            silentPeers.push_back(peer);
        }
    }
    for (const vm_id &peer : silentPeers) {
        m_openConnections.erase(peer);
        scheduleRetry(peer);
        actions.push_back(disconnect_peer{peer});
    }
    openMissingConnections(actions);
}

void peer_connections::openMissingConnections(action_list &actions)
{
    const steady_time now = m_time.steadyNow();
    for (const auto &[peer, endpoint] : m_endpoints) {
        const auto connecting = m_connectDeadlines.find(peer);
        const auto retry = m_retryTimes.find(peer);
        if (!endpoint.isOpener || endpoint.address.empty() || m_openConnections.contains(peer)
            || (connecting != m_connectDeadlines.end() && now < connecting->second)
            || (retry != m_retryTimes.end() && now < retry->second)) {
            continue;
        }
        m_retryTimes.erase(peer);
        m_connectDeadlines[peer] = now + connectTimeout;
        actions.push_back(connect_peer{peer, endpoint.address});
    }
}

void peer_connections::sendHeartbeat(const vm_id &peer,
                                     std::uint64_t configurationVersion,
                                     bool isStopping,
                                     action_list &actions)
{
    open_connection &connection = m_openConnections.at(peer);
    const std::uint64_t sequence = connection.nextSequence++;
    connection.unechoed.push_back({sequence, m_time.steadyNow()});
    if (connection.unechoed.size() > maximumUnechoedHeartbeats) {
        connection.unechoed.pop_front();
    }
    actions.push_back(
        send_to_peer{peer, heartbeat{sequence, configurationVersion, isStopping, connection.receivedSequence}});
}

bool peer_connections::isConnected(const vm_id &peer) const
{
    return m_openConnections.contains(peer);
}

std::vector<vm_id> peer_connections::connectedPeers() const
{
    std::vector<vm_id> peers;
    for (const auto &[peer, connection] : m_openConnections) {
        peers.push_back(peer);
    }
    return peers;
}

std::optional<steady_time> peer_connections::earliestSendTime(const vm_id &peer) const
{
    const auto found = m_openConnections.find(peer);
    return found == m_openConnections.end() ? std::nullopt : found->second.echoedSentAt;
}

} // namespace crocuslane
