#pragma once

namespace crocuslane {

/// Sockets of connections that wait for their next request. Whatever arrives on one of them belongs to no request.
class idle_sockets
{
public:
    idle_sockets();
    ~idle_sockets();
    idle_sockets(const idle_sockets &) = delete;
    idle_sockets &operator=(const idle_sockets &) = delete;

    /// A socket that is closed is removed by itself, unless another process has inherited it.
    void add(int socket);
    void remove(int socket);
    /// Ends the connections on which something has arrived or that the peer has closed, and removes their sockets. The
    /// sockets stay open; reading from them reports the end of the connection.
    void endReadable();

private:
    int m_epollDescriptor;
};

} // namespace crocuslane
