#pragma once

#include "base/clock.h"
#include "edge/event_sink.h"
#include "kernel/types.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <string>

namespace crocuslane {

class event_loop;
class logger;

/// One entry VM: the kernel with all plug-ins, and the network components that deliver events to the kernel and carry
/// out its actions.
class entry_node : public event_sink
{
public:
    struct settings {
        node_identity node;
        std::string logServiceAddress;
        std::string vmListAddress;
        std::string ratingServiceAddress;
        std::string sessionKey;
        std::string peerKey;
        /// PEM files for connections of callers and operators; without both, these connections don't use TLS.
        std::string certificateFile;
        std::string privateKeyFile;
        /// Hexadecimal SHA-256 of the operator's key that may publish the first configuration; empty for none.
        std::string bootstrapKeyHash;
        std::size_t bodyLimitBytes = 0;
        std::size_t connectionLimit = 10'000;
        std::size_t timelineEventLimit = 20'000;
        duration freshnessLimit = std::chrono::seconds(6);
        duration logRetention = std::chrono::hours(24);
    };

    entry_node(settings settings, const clock &clock, event_loop &loop, logger &log);
    ~entry_node() override;
    entry_node(const entry_node &) = delete;
    entry_node &operator=(const entry_node &) = delete;

    /// Opens the listening sockets and starts the kernel. Fails with net_error.
    boost::leaf::result<void> start();
    void deliver(event event) override;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace crocuslane
