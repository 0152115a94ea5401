#include "net/event_loop.h"
#include "net/http_client.h"
#include "support/loop_wait.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>
#include <tuple>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace crocuslane;

namespace {

/// Answers the head of a request before it has read the body, and then resets the connection.
class early_server
{
public:
    explicit early_server(std::string answer)
        : m_answer(std::move(answer))
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof bound;
        auto *socketAddress = reinterpret_cast<sockaddr *>(&bound);
        if (bind(m_listener, socketAddress, size) != 0 || listen(m_listener, 1) != 0
            || getsockname(m_listener, socketAddress, &size) != 0) {
            throw std::runtime_error("cannot listen");
        }
        address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
        m_thread = std::thread([this] { serve(); });
    }

    ~early_server()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    early_server(const early_server &) = delete;
    early_server &operator=(const early_server &) = delete;

    std::string address;
    /// The client has received a part of the answer.
    std::atomic<bool> isReceived = false;

private:
    void serve()
    {
        const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        std::string received;
        char buffer[1024];
        while (received.find("\r\n\r\n") == std::string::npos) {
            const ssize_t count = recv(connection, buffer, sizeof buffer, 0);
            if (count <= 0) {
                break;
            }
            received.append(buffer, static_cast<std::size_t>(count));
        }
        send(connection, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
        for (int round = 0; round < 100 && !isReceived; ++round) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        const linger immediate{1, 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
        close(connection);
    }

    std::string m_answer;
    int m_listener;
    std::thread m_thread;
};

class early_answer_fixture
{
protected:
    /// The body is larger than what the sockets of both ends buffer.
    transfer_result resultOf(early_server &server, bool resetsAfterPart)
    {
        constexpr std::size_t bodyBytes = 32UL << 20;
        transfer_result result = transfer_result::complete;
        bool isEnded = false;
        server.isReceived = !resetsAfterPart;
        http_client_request request;
        request.method = "POST";
        request.address = server.address;
        request.target = "/";
        request.body.assign(bodyBytes, 'x');
        request.onData = [&server](std::string_view /*data*/) { server.isReceived = true; };
        request.onEnd = [&](transfer_result ended, std::uint32_t /*status*/) {
            result = ended;
            isEnded = true;
        };
        m_client.start(std::move(request));
        REQUIRE(runUntil(m_loop, [&isEnded] { return isEnded; }));
        return result;
    }

    event_loop m_loop;
    http_client m_client{m_loop};
};

} // namespace

// Guards against a part of an answer that is taken as a whole one: without a length, only the way in which the
// connection ends shows that the answer is cut off.
TEST_CASE_METHOD(early_answer_fixture, "upload, answer without length and reset before its end, is lost", "[net]")
{
    const std::string head = GENERATE(std::string("HTTP/1.1 200 OK\r\n"),
                                      std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n"),
                                      std::string("HTTP/1.0 200 OK\r\n"),
                                      std::string("HTTP/1.1 404 Not Found\r\n"),
                                      std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"),
                                      std::string("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"));
    const bool resetsAfterPart = GENERATE(true, false);
    INFO(head << resetsAfterPart);
    const std::string body = head.find("chunked") == std::string::npos ? "part" : "4\r\npart\r\n";
    early_server server(head + "\r\n" + body);
    CHECK(resultOf(server, resetsAfterPart) == transfer_result::lost);
}
