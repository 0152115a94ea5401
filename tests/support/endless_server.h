#pragma once

#include "base/clock.h"

#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace crocuslane {

/// A server on a loopback port that answers its first request with @c beginning and then repeats @c piece until the
/// client closes the connection, or until @c maximumBytes are sent.
class endless_server
{
public:
    static constexpr std::size_t maximumBytes = 64UL * 1024UL * 1024UL;

    endless_server(const std::string &ip, std::uint16_t port, std::string beginning, std::string piece)
        : m_listener(socket(AF_INET, SOCK_STREAM, 0))
        , m_beginning(std::move(beginning))
        , m_piece(std::move(piece))
    {
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || listen(m_listener, 1) != 0) {
            throw std::runtime_error("cannot listen");
        }
        m_thread = std::thread([this] { serve(); });
    }

    ~endless_server()
    {
        shutdown(m_listener, SHUT_RDWR);
        if (m_connection >= 0) {
            shutdown(m_connection, SHUT_RDWR);
        }
        waitUntilEnded();
        close(m_connection);
        close(m_listener);
    }

    endless_server(const endless_server &) = delete;
    endless_server &operator=(const endless_server &) = delete;

    /// Returns when the connection is closed.
    void waitUntilEnded()
    {
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    std::size_t bytesSent() const
    {
        return m_bytesSent;
    }

    /// The client has closed the connection before @c maximumBytes were sent.
    bool isClosedByClient() const
    {
        return m_isClosedByClient;
    }

private:
    void serve()
    {
        const int connection = accept(m_listener, nullptr, nullptr);
        m_connection = connection;
        if (connection < 0) {
            return;
        }
        char request[4096];
        if (recv(connection, request, sizeof request, 0) > 0) {
            bool isOpen = sendAll(connection, m_beginning);
            while (isOpen && m_bytesSent < maximumBytes) {
                isOpen = sendAll(connection, m_piece);
            }
            m_isClosedByClient = !isOpen;
        }
        shutdown(connection, SHUT_RDWR);
    }

    bool sendAll(int connection, const std::string &text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count = send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
            m_bytesSent += static_cast<std::size_t>(count);
        }
        return true;
    }

    int m_listener;
    std::atomic<int> m_connection{-1};
    std::string m_beginning;
    std::string m_piece;
    std::atomic<std::size_t> m_bytesSent{0};
    std::atomic<bool> m_isClosedByClient{false};
    std::thread m_thread;
};

} // namespace crocuslane
