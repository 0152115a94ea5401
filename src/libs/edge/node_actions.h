#pragma once

#include "edge/decision_loop.h"
#include "edge/peer_network.h"
#include "edge/traffic_metrics.h"

#include <variant>

namespace crocuslane {

/// What nodes with any set of ports do with the actions of the kernel: they count them, serve the connections between
/// entry VMs, and hand each other action to the overload of carryOut() that @p node has for it.
template<typename node>
class node_actions : public decision_host
{
public:
    /// Both are members of the node and are not used before it is complete.
    node_actions(traffic_metrics &metrics, peer_network &peers)
        : m_metrics(metrics)
        , m_peers(peers)
    {
    }

    void observeStep(duration processorTime) override
    {
        m_metrics.observeStep(processorTime);
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
