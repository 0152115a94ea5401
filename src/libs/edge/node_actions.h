#pragma once

#include "edge/decision_loop.h"
#include "edge/peer_network.h"
#include "edge/traffic_metrics.h"

#include <variant>

namespace crocuslane {

/// Base of the nodes of all sets of ports. It counts the actions of the kernel, carries out those for connections
/// between entry VMs, and calls the overload of carryOut() in @p node for every other action.
template<typename node>
class node_actions : public decision_host
{
public:
    /// Both are members of the derived node and are not used before its construction has finished.
    node_actions(traffic_metrics &metrics, peer_network &peers)
        : m_metrics(metrics)
        , m_peers(peers)
    {
    }

    void observeStep(duration handlingTime) override
    {
        m_metrics.observeStep(handlingTime);
    }

    void carryOut(const action &action) override
    {
        m_metrics.observe(action);
        std::visit([this](const auto &content) { static_cast<node *>(this)->carryOut(content); }, action);
    }

    void carryOut(const connect_peer &action)
    {
        m_peers.connect(action);
    }

    void carryOut(const disconnect_peer &action)
    {
        m_peers.disconnect(action);
    }

    void carryOut(const send_to_peer &action)
    {
        m_peers.send(action);
    }

private:
    traffic_metrics &m_metrics;
    peer_network &m_peers;
};

} // namespace crocuslane
