#include "edge/node_run.h"

#include "base/logger.h"
#include "net/event_loop.h"
#include "net/net_error.h"

#include <boost/leaf/handle_errors.hpp>

namespace crocuslane {

int runNode(event_loop &loop,
            logger &log,
            const std::string &callerAddress,
            const std::string &peerAddress,
            const std::function<boost::leaf::result<void>()> &start)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_CHECK(start());
            log.write(log_level::info, "started", {{"caller_address", callerAddress}, {"peer_address", peerAddress}});
            loop.run();
            return 0;
        },
        [&log](const net_error &error) {
            log.write(log_level::error, "start_failed", {{"detail", error.detail}});
            return exitStartFailed;
        },
        [&log] {
            log.write(log_level::error, "start_failed", {});
            return exitStartFailed;
        });
}

} // namespace crocuslane
