#include "net/tests/http_fixture.h"
#include "support/loop_wait.h"
#include "support/raw_caller.h"
#include "support/scripted_server.h"

#include <ace/Reactor.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <tuple>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace crocuslane;

namespace {

/// Bytes that the allocator has given out.
std::size_t usedMemory()
{
    const auto information = mallinfo2();
    return information.uordblks + information.hblkhd;
}

/// A listening socket with a full queue of connections: the system drops further attempts to connect, so that they get
/// no answer.
class full_listener
{
public:
    full_listener()
    {
        sockaddr_in any{};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int listener = open();
        REQUIRE(::bind(listener, reinterpret_cast<const sockaddr *>(&any), sizeof any) == 0);
        REQUIRE(::listen(listener, 0) == 0);
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &size) == 0);
        for (int attempt = 0; attempt < 4; ++attempt) {
            // Some of these attempts stay unanswered, as intended.
            std::ignore = ::connect(open(), reinterpret_cast<const sockaddr *>(&bound), sizeof bound);
        }
        address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    }

    ~full_listener()
    {
        for (const int socket : m_sockets) {
            ::close(socket);
        }
    }

    full_listener(const full_listener &) = delete;
    full_listener &operator=(const full_listener &) = delete;

    std::string address;

private:
    int open()
    {
        m_sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        return m_sockets.back();
    }

    std::vector<int> m_sockets;
};

} // namespace

// Guards against an exception that passes through a library written in C, which ends the process.
TEST_CASE_METHOD(http_fixture, "http server, handler throws, answers with 500 and serves the next request", "[net]")
{
    http_client_request odd;
    odd.target = "/odd";
    runRequest(std::move(odd));
    CHECK(m_result == transfer_result::complete);
    CHECK(m_status == 500);
    http_client_request next;
    next.target = "/echo";
    runRequest(std::move(next));
    CHECK(m_status == 200);
}

// Guards against streams whose unread bytes take up to twice the memory that is counted for them. The address sanitizer
// reports no memory in use; the check then holds in any case.
TEST_CASE_METHOD(http_fixture, "http server, caller doesn't read a stream, keeps little more than its bytes", "[net]")
{
    raw_caller caller(m_address);
    caller.sendOnly("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(runUntil(m_loop, [this] { return m_exchange != nullptr; }));
    // Just beyond a power of two, where a capacity that doubles is largest.
    constexpr std::size_t unreadBytes = 560'000;
    constexpr std::size_t allowedBytes = unreadBytes + unreadBytes / 4;
    const std::string piece(2000, 'x');
    const std::size_t usedBefore = usedMemory();
    m_exchange->begin(200, {});
    for (std::size_t bytes = 0; bytes < unreadBytes; bytes += piece.size()) {
        REQUIRE(m_exchange->send(piece));
    }
    CHECK(usedMemory() < usedBefore + allowedBytes);
}

// Guards against bytes after an answer that become the answer to the next request, and against a request that is lost
// because it is sent over a connection that the server has closed or reset, or whose last answer was broken off.
TEST_CASE_METHOD(
    http_fixture,
    "http client, connection with bytes after an answer or ended by the server, does not harm the next request",
    "[net]")
{
    struct faulty_connection {
        scripted_answer answer;
        bool isReused;
    };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string trailing = head + "Content-Length: 8\r\n\r\ntrailing";
    const std::string sized = head + "Content-Length: 4\r\n\r\nbody";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n";
    const std::vector<faulty_connection> connections{{{{sized}}, true},
                                                     {{{sized + trailing}}, false},
                                                     {{{sized, trailing}}, false},
                                                     {{{sized, std::string(300'000, 'x')}}, false},
                                                     {{{sized}, connection_end::close}, false},
                                                     {{{sized}, connection_end::reset}, false},
                                                     // Bytes that arrive with the last chunk are discarded.
                                                     {{{chunked + "0\r\n\r\n" + trailing}}, true},
                                                     {{{chunked + "0\r\n\r\n", trailing}}, false},
                                                     {{{chunked, "no chunk\r\n"}}, false},
                                                     {{{head + "\r\nbo", "dy"}, connection_end::close}, false}};
    for (std::size_t index = 0; index < connections.size(); ++index) {
        INFO("connection " << index);
        const faulty_connection &each = connections[index];
        int requests = 0;
        scripted_server server([&](const std::string & /*request*/) {
            return ++requests == 1 ? each.answer : scripted_answer{{head + "Content-Length: 3\r\n\r\nown"}};
        });
        m_address = server.address();
        http_client_request request;
        request.target = "/";
        m_body.clear();
        runRequest(request);
        CHECK(m_body == "body");
        // The trailing bytes arrive in the meantime.
        m_loop.schedule(std::chrono::milliseconds(120), [this] { m_loop.stop(); });
        m_loop.run();
        m_body.clear();
        runRequest(request);
        CHECK(m_result == transfer_result::complete);
        CHECK(m_body == "own");
        const std::size_t second = each.isReused ? 0 : 1;
        CHECK(server.connectionsOfRequests() == std::vector<std::size_t>{0, second});
    }
}

// Guards against a body lost between server and client.
TEST_CASE_METHOD(http_fixture, "http server, post, answers with the body", "[net]")
{
    http_client_request request;
    request.method = "POST";
    request.target = "/echo";
    request.body = "hello";
    runRequest(request);
    CHECK(m_result == transfer_result::complete);
    CHECK(m_status == 200);
    CHECK(m_body == "hello");
}

// Guards against a stream that stalls when data is sent after its connection was suspended.
TEST_CASE_METHOD(http_fixture, "http server, stream with pauses, arrives whole", "[net]")
{
    http_client_request request;
    request.target = "/stream";
    runRequest(request);
    CHECK(m_status == 200);
    CHECK(m_body == "part0;part1;part2;");
}

// Guards against a body of unlimited size in memory.
TEST_CASE_METHOD(http_fixture, "http server, oversized body, is discarded and refused", "[net]")
{
    http_client_request request;
    request.method = "POST";
    request.target = "/echo";
    request.body = std::string(bodyLimit + 1, 'x');
    runRequest(request);
    CHECK(m_status == 413);
}

// Guards against waiting forever on a connection that went silent.
TEST_CASE_METHOD(http_fixture, "http client, silent server, ends as lost", "[net]")
{
    http_client_request request;
    request.target = "/silent";
    request.silenceLimit = std::chrono::milliseconds(30);
    runRequest(request);
    CHECK(m_result == transfer_result::lost);
}

// Guards against a failure that is reported as if the request may have run although no connection was established.
TEST_CASE_METHOD(http_fixture, "http client, closed port, ends as not connected", "[net]")
{
    http_client_request request;
    request.target = "/echo";
    m_address = "127.0.0.1:1";
    runRequest(request);
    CHECK(m_result == transfer_result::not_connected);
}

// Guards against a handler that stays registered with the reactor after its descriptor was closed: the next connection
// with that descriptor is then not watched, and at its end the reactor calls a destroyed handler.
TEST_CASE_METHOD(http_fixture, "http client, connection attempt that times out, leaves no handler behind", "[net]")
{
    const full_listener listener;
    m_address = listener.address;
    http_client_request request;
    request.target = "/echo";
    request.connectTimeout = std::chrono::milliseconds(50);
    runRequest(request);
    CHECK(m_result == transfer_result::not_connected);
    constexpr int descriptors = 256;
    for (int descriptor = 0; descriptor < descriptors; ++descriptor) {
        const bool isClosed = ::fcntl(descriptor, F_GETFD) == -1;
        INFO("descriptor " << descriptor);
        CHECK_FALSE((isClosed && m_loop.reactor().find_handler(descriptor) != nullptr));
    }
}

// Guards against a transfer that never starts, and so never ends, because start() was called from onData: libcurl
// refuses changes of its transfers from inside its callbacks.
TEST_CASE_METHOD(http_fixture, "http client, start while data arrives, runs the transfer", "[net]")
{
    http_client_request second;
    second.method = "POST";
    second.address = m_address;
    second.target = "/echo";
    second.body = "second";
    second.onData = [this](std::string_view data) { m_body += data; };
    second.onEnd = [this](transfer_result result, std::uint32_t /*status*/) {
        m_result = result;
        m_loop.stop();
    };
    http_client_request first = second;
    first.onData = [&](std::string_view /*data*/) { m_client.start(second); };
    first.onEnd = {};
    m_client.start(std::move(first));
    // Ends the test if the second transfer doesn't.
    m_loop.schedule(std::chrono::seconds(5), [this] { m_loop.stop(); });
    m_loop.run();
    CHECK(m_result == transfer_result::complete);
    CHECK(m_body == "second");
}

// Guards against the use of a transfer after it was cancelled from onData.
TEST_CASE_METHOD(http_fixture, "http client, cancel while data arrives, calls neither transfer again", "[net]")
{
    int calls = 0;
    const auto count = [&calls](transfer_result /*result*/, std::uint32_t /*status*/) { ++calls; };
    http_client_request silent;
    silent.address = m_address;
    silent.target = "/silent";
    silent.onEnd = count;
    const transfer_number other = m_client.start(silent);
    http_client_request next = silent;
    next.method = "POST";
    next.target = "/echo";
    next.body = "next";
    next.onData = [this](std::string_view data) { m_body += data; };
    next.onEnd = [this](transfer_result /*result*/, std::uint32_t /*status*/) { m_loop.stop(); };
    http_client_request cancelled = next;
    cancelled.onEnd = count;
    transfer_number self = 0;
    cancelled.onData = [&](std::string_view /*data*/) {
        m_client.cancel(other);
        m_client.cancel(self);
        m_loop.schedule(std::chrono::milliseconds(50), [&] { m_client.start(next); });
    };
    self = m_client.start(cancelled);
    m_loop.run();
    CHECK(calls == 0);
    CHECK(m_body == "next");
}

// Guards against a socket watcher that is destroyed while the reactor still dispatches its event, when a connection
// ends with its transfer. The sanitizers report it in the first transfer.
TEST_CASE_METHOD(http_fixture, "http client, connections that end with their transfer, are released later", "[net]")
{
    for (int transfer = 0; transfer < 50; ++transfer) {
        http_client_request request;
        request.target = "/stream";
        request.headers = {"connection: close"};
        m_body.clear();
        runRequest(request);
        REQUIRE(m_body == "part0;part1;part2;");
    }
}

// Guards against a signal that ends the process while it starts, such as SIGHUP after a change of the settings.
TEST_CASE("event loop, signal before its handler is set, reaches the handler", "[net]")
{
    event_loop::blockSignals();
    REQUIRE(std::raise(SIGHUP) == 0);
    event_loop loop;
    bool isReceived = false;
    loop.setReloadSignalHandler([&] {
        isReceived = true;
        loop.stop();
    });
    // Ends the test if the signal doesn't arrive.
    loop.schedule(std::chrono::seconds(20), [&loop] { loop.stop(); });
    loop.run();
    CHECK(isReceived);
}

// Guards against SIGPIPE, which ends the process at a write to a connection that the other end has closed, for example
// while the process was paused.
TEST_CASE_METHOD(http_fixture, "event loop, write to a closed connection, does not end the process", "[net]")
{
    std::array<int, 2> pipe{};
    REQUIRE(::pipe(pipe.data()) == 0);
    ::close(pipe[0]);
    CHECK(::write(pipe[1], "x", 1) == -1);
    CHECK(errno == EPIPE);
    ::close(pipe[1]);
}
