#pragma once

#include "base/random_source.h"
#include "kernel/action.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace crocuslane {

constexpr std::chrono::milliseconds heartbeatInterval{500};
/// A connection on which no message arrives for this time is closed and reopened.
constexpr std::chrono::seconds silenceTimeout{2};

/// Connections to other entry VMs. Missing messages show that a connection is broken, because TCP may take minutes to
/// report it.
class peer_connections
{
public:
    struct endpoint {
        std::string address;
        /// True when this VM opens the connection, false when the peer does.
        bool isOpener = false;
    };

    peer_connections(const clock &time, random_source &random);

    /// Sets the peers to be connected with. Closes connections to other peers that this VM opened.
    void setEndpoints(std::map<vm_id, endpoint> endpoints, action_list &actions);
    void connected(const vm_id &peer);
    void disconnected(const vm_id &peer);
    void messageReceived(const vm_id &peer);
    void heartbeatReceived(const vm_id &peer, const heartbeat &message);
    /// Closes silent connections and opens missing ones.
    void maintain(action_list &actions);
    /// @p peer must be connected.
    void sendHeartbeat(const vm_id &peer, std::uint64_t configurationVersion, bool isStopping, action_list &actions);

    bool isConnected(const vm_id &peer) const;
    std::vector<vm_id> connectedPeers() const;
    /// Lower bound of the send time of all messages that arrive from the peer from now on; nothing before the first
    /// echo of a heartbeat. Messages stay in order on a connection, so the bound holds however long they are delayed.
    std::optional<steady_time> earliestSendTime(const vm_id &peer) const;

private:
    struct sent_heartbeat {
        std::uint64_t sequence = 0;
        steady_time sentAt;
    };

    struct open_connection {
        steady_time lastMessageTime;
        std::uint64_t nextSequence = 1;
        std::uint64_t receivedSequence = 0;
        /// Heartbeats that the peer has not echoed yet.
        std::deque<sent_heartbeat> unechoed;
        /// Send time of the last heartbeat that the peer echoed.
        std::optional<steady_time> echoedSentAt;
    };

    void openMissingConnections(action_list &actions);
    void scheduleRetry(const vm_id &peer);

    const clock &m_time;
    random_source &m_random;
    std::map<vm_id, endpoint> m_endpoints;
    std::map<vm_id, open_connection> m_openConnections;
    /// Times at which an unanswered connect_peer counts as failed.
    std::map<vm_id, steady_time> m_connectDeadlines;
    std::map<vm_id, steady_time> m_retryTimes;
    steady_time m_lastMaintenance;
};

} // namespace crocuslane
