#pragma once

#include <chrono>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace crocuslane {

/// What a scripted_server does with the connection after an answer.
enum class connection_end {
    keep,
    close,
    /// The client gets an error instead of the end of the data.
    reset,
};

/// Bytes of an answer, head included. The server pauses after each piece, so that the client reads them one by one.
struct scripted_answer {
    std::vector<std::string> pieces;
    connection_end end = connection_end::keep;
};

/// A server on a free loopback port that sends exactly the bytes that a test gives, whether or not they are proper
/// HTTP.
class scripted_server
{
public:
    /// Called with head and body of each request, in a thread of the connection; the calls don't overlap.
    using script = std::function<scripted_answer(const std::string &request)>;

    explicit scripted_server(script answers)
        : m_script(std::move(answers))
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof bound;
        auto *socketAddress = reinterpret_cast<sockaddr *>(&bound);
        if (bind(m_listener, socketAddress, size) != 0 || listen(m_listener, SOMAXCONN) != 0
            || getsockname(m_listener, socketAddress, &size) != 0) {
            close(m_listener);
            throw std::runtime_error("cannot listen");
        }
        m_address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
        m_acceptor = std::thread([this] { acceptAll(); });
    }

    ~scripted_server()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        close(m_listener);
        for (connection &each : m_connections) {
            shutdown(each.socket, SHUT_RDWR);
            each.thread.join();
            close(each.socket);
        }
    }

    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    /// "ip:port"
    const std::string &address() const
    {
        return m_address;
    }

    /// For each request the number of its connection, counted from 0.
    std::vector<std::size_t> connectionsOfRequests() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_connectionsOfRequests;
    }

private:
    struct connection {
        int socket = -1;
        std::thread thread;
    };

    void acceptAll()
    {
        for (int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC); accepted >= 0;
             accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC)) {
            const std::size_t number = m_connections.size();
            m_connections.push_back({accepted, std::thread([this, accepted, number] { serve(accepted, number); })});
        }
    }

    void serve(int socket, std::size_t number)
    {
        for (std::string request = receiveRequest(socket); !request.empty(); request = receiveRequest(socket)) {
            const scripted_answer answer = next(request, number);
            for (const std::string &piece : answer.pieces) {
                send(socket, piece.data(), piece.size(), MSG_NOSIGNAL);
                std::this_thread::sleep_for(pause);
            }
            if (answer.end == connection_end::reset) {
                resetConnection(socket);
            }
            if (answer.end != connection_end::keep) {
                shutdown(socket, SHUT_RDWR);
                return;
            }
        }
    }

    scripted_answer next(const std::string &request, std::size_t number)
    {
        const std::scoped_lock lock(m_mutex);
        m_connectionsOfRequests.push_back(number);
        return m_script(request);
    }

    /// Disconnecting a TCP socket sends a reset and keeps the descriptor, which the destructor closes.
    static void resetConnection(int socket)
    {
        const linger immediate{1, 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
        sockaddr nobody{};
        nobody.sa_family = AF_UNSPEC;
        std::ignore = connect(socket, &nobody, sizeof nobody);
    }

    /// Empty when the client has closed the connection.
    static std::string receiveRequest(int socket)
    {
        constexpr std::string_view headEnd = "\r\n\r\n";
        std::string request;
        while (true) {
            const std::size_t end = request.find(headEnd);
            if (end != std::string::npos && request.size() >= end + headEnd.size() + bodySize(request)) {
                return request;
            }
            char received[4096];
            const ssize_t count = recv(socket, received, sizeof received, 0);
            if (count <= 0) {
                return {};
            }
            request.append(received, static_cast<std::size_t>(count));
        }
    }

    static std::size_t bodySize(const std::string &request)
    {
        constexpr std::string_view name = "Content-Length: ";
        const std::size_t at = request.find(name);
        return at == std::string::npos ? 0 : std::stoul(request.substr(at + name.size()));
    }

    static constexpr std::chrono::milliseconds pause{40};

    script m_script;
    int m_listener;
    std::string m_address;
    mutable std::mutex m_mutex;
    std::vector<std::size_t> m_connectionsOfRequests;
    /// Used by the accepting thread, and by the destructor after its end.
    std::vector<connection> m_connections;
    std::thread m_acceptor;
};

} // namespace crocuslane
