#pragma once

#include <boost/leaf/result.hpp>

#include <functional>
#include <string>

namespace crocuslane {

class event_loop;
class logger;

/// Exit status of a process that could not start.
constexpr int exitStartFailed = 1;

/// Starts a node with @p start and runs the loop until it is stopped. Returns the exit status of the process; a failed
/// start is logged. The addresses are for the log only.
int runNode(event_loop &loop,
            logger &log,
            const std::string &callerAddress,
            const std::string &peerAddress,
            const std::function<boost::leaf::result<void>()> &start);

} // namespace crocuslane
