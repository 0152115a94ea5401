#include "net/dead_peer_detection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace crocuslane {

namespace {

constexpr int unacknowledgedDataTimeoutMilliseconds = 4000;
constexpr int idleSecondsBeforeProbe = 2;
constexpr int secondsBetweenProbes = 1;
constexpr int maximumUnansweredProbes = 2;

} // namespace

void enableDeadPeerDetection(int socket)
{
    const auto set = [socket](int level, int option, int value) {
        ::setsockopt(socket, level, option, &value, sizeof value);
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, idleSecondsBeforeProbe);
    set(IPPROTO_TCP, TCP_KEEPINTVL, secondsBetweenProbes);
    set(IPPROTO_TCP, TCP_KEEPCNT, maximumUnansweredProbes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedDataTimeoutMilliseconds);
}

} // namespace crocuslane
