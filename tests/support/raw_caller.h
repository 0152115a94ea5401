#pragma once

#include <stdexcept>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace crocuslane {

struct raw_answer {
    std::string head;
    /// Without the sizes of chunks.
    std::string body;
    /// The length or the last chunk marked the end of the answer.
    bool isFramed = false;
    /// The connection ended with a reset.
    bool isReset = false;
};

/// A connection of a caller that sends the bytes that a test gives. All calls block.
class raw_caller
{
public:
    /// @p address is "ip:port".
    explicit raw_caller(const std::string &address)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const std::size_t colon = address.find(':');
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
        if (connect(m_socket, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0) {
            close(m_socket);
            throw std::runtime_error("cannot connect");
        }
    }

    ~raw_caller()
    {
        close(m_socket);
    }

    raw_caller(const raw_caller &) = delete;
    raw_caller &operator=(const raw_caller &) = delete;

    /// Sends bytes and reads nothing.
    void sendOnly(const std::string &bytes)
    {
        send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// Sends a request and reads its answer to the end, or to the end of the connection.
    raw_answer call(const std::string &request)
    {
        m_isReset = false;
        send(m_socket, request.data(), request.size(), MSG_NOSIGNAL);
        raw_answer answer;
        if (!receiveUntil("\r\n\r\n", answer.head)) {
            answer.isReset = m_isReset;
            return answer;
        }
        constexpr std::string_view lengthName = "\r\nContent-Length: ";
        const std::size_t length = answer.head.find(lengthName);
        if (length != std::string::npos) {
            answer.isFramed = receive(std::stoul(answer.head.substr(length + lengthName.size())), answer.body);
        } else if (answer.head.find("\r\nTransfer-Encoding: chunked") != std::string::npos) {
            answer.isFramed = receiveChunks(answer.body);
        } else {
            receive(std::string::npos, answer.body);
        }
        answer.isReset = m_isReset;
        return answer;
    }

private:
    bool receiveChunks(std::string &body)
    {
        constexpr int hexadecimalBase = 16;
        std::string line;
        while (receiveUntil("\r\n", line)) {
            const std::size_t size = std::stoul(line, nullptr, hexadecimalBase);
            std::string chunk;
            if (!receive(size, chunk) || !receiveUntil("\r\n", line)) {
                return false;
            }
            body += chunk;
            if (size == 0) {
                return true;
            }
        }
        return false;
    }

    /// Takes @p size bytes; fewer, and returns false, when the connection ends before.
    bool receive(std::size_t size, std::string &taken)
    {
        while (m_received.size() < size && receiveMore()) { }
        taken = m_received.substr(0, size);
        m_received.erase(0, size);
        return taken.size() == size;
    }

    /// Takes the bytes up to and including @p mark.
    bool receiveUntil(std::string_view mark, std::string &taken)
    {
        std::size_t at = m_received.find(mark);
        while (at == std::string::npos) {
            if (!receiveMore()) {
                return false;
            }
            at = m_received.find(mark);
        }
        return receive(at + mark.size(), taken);
    }

    bool receiveMore()
    {
        char received[4096];
        const ssize_t count = recv(m_socket, received, sizeof received, 0);
        m_isReset = m_isReset || count < 0;
        if (count <= 0) {
            return false;
        }
        m_received.append(received, static_cast<std::size_t>(count));
        return true;
    }

    int m_socket;
    std::string m_received;
    bool m_isReset = false;
};

} // namespace crocuslane
