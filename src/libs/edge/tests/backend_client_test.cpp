#include "edge/backend_client.h"

#include "edge/event_sink.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "support/endless_server.h"
#include "support/loop_wait.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace crocuslane;

namespace {

constexpr std::uint16_t port = 23160;
// More than the limits and what the buffers of both sockets hold.
constexpr std::size_t sentBytesBound = 48UL * 1024UL * 1024UL;

class failure_sink : public event_sink
{
public:
    void deliver(event event) override
    {
        if (const auto *failed = std::get_if<attempt_failed>(&event)) {
            failure = failed->failure;
        }
    }

    std::optional<attempt_failure> failure;
};

class backend_client_fixture
{
protected:
    /// Waits until the attempt has failed and the server has seen the end of its connection.
    void checkFailure(endless_server &server, attempt_failure expected)
    {
        REQUIRE(runUntil(m_loop, [this] { return m_sink.failure.has_value(); }));
        CHECK(m_sink.failure == expected);
        server.waitUntilEnded();
        CHECK(server.isClosedByClient());
        CHECK(server.bytesSent() < sentBytesBound);
    }

    const std::string m_address = "127.0.0.1:" + std::to_string(port);
    failure_sink m_sink;
    event_loop m_loop;
    http_client m_http{m_loop};
    backend_client m_client{m_http, m_sink};
};

} // namespace

// Guards against a stream with a line that never ends and fills the memory of the process.
TEST_CASE_METHOD(backend_client_fixture,
                 "stream of an engine, line without end, fails and closes its connection",
                 "[edge]")
{
    endless_server server("127.0.0.1", port, "HTTP/1.1 200 OK\r\n\r\ndata: ", std::string(16384, 'x'));
    start_attempt action;
    action.attempt = 1;
    action.address = m_address;
    m_client.start(action, {"[]", 10});
    checkFailure(server, attempt_failure::oversized);
}

// Guards against an answer of a plain service that never ends and fills the memory of the process.
TEST_CASE_METHOD(backend_client_fixture,
                 "call of a service, body without end, fails and closes its connection",
                 "[edge]")
{
    endless_server server("127.0.0.1", port, "HTTP/1.1 200 OK\r\n\r\n", std::string(16384, 'x'));
    start_call action;
    action.attempt = 1;
    action.address = m_address;
    action.timeout = std::chrono::seconds(15);
    m_client.start(action, {"look", {}, "{}"});
    checkFailure(server, attempt_failure::connection_lost);
}
