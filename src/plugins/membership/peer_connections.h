#pragma once

#include "base/random_source.h"
#include "kernel/action.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace crocuslane {

constexpr std::chrono::milliseconds heartbeatInterval{500};
/// A connection without a message for this long is closed and opened anew.
constexpr std::chrono::seconds connectionSilence{2};

/// Connections to other entry VMs, detected as silent by missing messages rather than by TCP.
class peer_connections
{
public:
    struct endpoint {
        std::string address;
        /// This VM opens the connection; otherwise the peer does.
        bool isOpener = false;
    };

    peer_connections(const clock &time, random_source &random);

    /// Peers to be connected with. Connections to others that this VM opened are closed.
    void setWanted(std::map<vm_id, endpoint> wanted, action_list &actions);
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
    /// Everything that the peer sends on its connection from now on, it sent at this time or later; nothing before the
    /// first echo of a heartbeat. Messages keep their order on a connection, so this holds however long they travel.
    std::optional<steady_time> sentAfter(const vm_id &peer) const;

private:
    struct sent_heartbeat {
        std::uint64_t sequence = 0;
        steady_time at;
    };

    struct open_connection {
        steady_time lastMessage;
        std::uint64_t nextSequence = 1;
        std::uint64_t receivedSequence = 0;
        std::deque<sent_heartbeat> unechoed;
        std::optional<steady_time> echoedSentAt;
    };

    void openMissing(action_list &actions);
    void scheduleRetry(const vm_id &peer);

    const clock &m_time;
    random_source &m_random;
    std::map<vm_id, endpoint> m_wanted;
    std::map<vm_id, open_connection> m_open;
    /// When to give up waiting for the outcome of a connect_peer.
    std::map<vm_id, steady_time> m_connecting;
    std::map<vm_id, steady_time> m_retryAt;
    steady_time m_lastMaintained;
};

} // namespace crocuslane
