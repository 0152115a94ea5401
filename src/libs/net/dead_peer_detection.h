#pragma once

namespace crocuslane {

/// Lets the kernel end a TCP connection whose other end stopped acknowledging, whether data is in flight or not.
/// Without it, a connection that a device on the path dropped without notice stays open forever.
void enableDeadPeerDetection(int socket);

} // namespace crocuslane
