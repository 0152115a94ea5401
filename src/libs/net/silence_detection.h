#pragma once

namespace crocuslane {

/// Lets the kernel end a TCP connection whose other end stopped acknowledging, whether data is under way or not.
/// Without it a connection that something on the path forgot stays open for good.
void setSilenceDetection(int socket);

} // namespace crocuslane
