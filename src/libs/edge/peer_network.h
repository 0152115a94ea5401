#pragma once

#include "base/hybrid_clock.h"
#include "kernel/action.h"
#include "net/net_error.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <string>

namespace crocuslane {

class event_loop;
class event_sink;
class logger;

/// Authenticated TCP connections to the other entry VMs, at most one per VM.
class peer_network
{
public:
    struct environment {
        event_loop &loop;
        event_sink &sink;
        logger &log;
        hybrid_clock &time;
        node_identity node;
        /// Shared by all entry VMs of a deployment.
        std::string peerKey;
    };

    explicit peer_network(environment environment);
    ~peer_network();
    peer_network(const peer_network &) = delete;
    peer_network &operator=(const peer_network &) = delete;

    /// @p address is "ip:port".
    boost::leaf::result<void> listen(const std::string &address);
    /// Connects without blocking. A failure is reported as peer_disconnected.
    void connect(const connect_peer &action);
    void disconnect(const disconnect_peer &action);
    /// Drops a message to a VM without a connection: the membership exchange is periodic, and senders of bill copies
    /// retry.
    void send(const send_to_peer &action);
    /// Bytes sent to other entry VMs since the start of the process.
    std::uint64_t bytesSent() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace crocuslane
