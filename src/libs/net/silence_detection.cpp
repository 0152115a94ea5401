#include "net/silence_detection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace crocuslane {

namespace {

constexpr int unacknowledgedMilliseconds = 4000;
constexpr int idleSecondsBeforeProbe = 2;
constexpr int secondsBetweenProbes = 1;
constexpr int unansweredProbes = 2;

} // namespace

void setSilenceDetection(int socket)
{
    const auto set = [socket](int level, int option, int value) {
        ::setsockopt(socket, level, option, &value, sizeof value);
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, idleSecondsBeforeProbe);
    set(IPPROTO_TCP, TCP_KEEPINTVL, secondsBetweenProbes);
    set(IPPROTO_TCP, TCP_KEEPCNT, unansweredProbes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMilliseconds);
}

} // namespace crocuslane
