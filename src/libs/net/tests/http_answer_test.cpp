#include "net/tests/http_fixture.h"
#include "support/endless_server.h"
#include "support/scripted_server.h"

#include <vector>

#include <unistd.h>

using namespace crocuslane;

// Guards against a server that sends header lines, interim answers, a body, or what frames its chunks without end,
// which would fill the memory of the VM: the transfer ends as lost and the connection is closed.
TEST_CASE_METHOD(http_fixture, "http client, answer without end, closes the connection at its limit", "[net]")
{
    struct endless_answer {
        std::string beginning;
        std::string piece;
    };
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<endless_answer> answers{{"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
                                              {"HTTP/1.1 200 OK\r\nX-Field: ", "value"},
                                              {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Wait\r\n\r\n"},
                                              {"HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x')},
                                              {chunkedHead, "1\r\nx\r\n"},
                                              {chunkedHead + "5;name=", std::string(1000, 'v')},
                                              {chunkedHead + "5", std::string(1000, '\r')},
                                              {chunkedHead + "5;n=1\r\nhello\r\n0;name=", std::string(1000, 'v')},
                                              {chunkedHead, "1;name=" + std::string(1000, 'v') + "\r\nx\r\n"},
                                              {chunkedHead + "5\r\nhello", std::string(1000, '\r')},
                                              {chunkedHead + "0\r\n", "X-Field: value\r\n"},
                                              {chunkedHead + "0\r\nX-Field: ", std::string(1000, 'v')}};
    // More than the limits and what the buffers of both sockets hold.
    constexpr std::size_t sentBytesBound = 16UL * 1024UL * 1024UL;
    std::uint16_t port = 23150;
    for (const endless_answer &answer : answers) {
        INFO(answer.beginning);
        endless_server server("127.0.0.1", ++port, answer.beginning, answer.piece);
        http_client_request request;
        m_address = "127.0.0.1:" + std::to_string(port);
        request.target = "/";
        request.maximumBodyBytes = 100'000;
        m_body.clear();
        runRequest(std::move(request));
        CHECK(m_result == transfer_result::lost);
        CHECK(m_body.size() <= 100'000);
        server.waitUntilEnded();
        CHECK(server.isClosedByClient());
        CHECK(server.bytesSent() < sentBytesBound);
    }
}

// Guards against a body in chunks that loses bytes, or its end, because its receiver is slow and the transfer pauses.
TEST_CASE_METHOD(http_fixture, "http client, chunks and a slow receiver, arrive whole on one connection", "[net]")
{
    std::string body;
    std::string chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int number = 100; number < 400; ++number) {
        const std::string data = std::to_string(number) + std::string(997, 'x');
        chunks += "3e8;n=" + std::to_string(number) + "\r\n" + data + "\r\n";
        body += data;
    }
    scripted_server server(
        [&chunks](const std::string & /*request*/) { return scripted_answer{{chunks + "0\r\nX-End: 1\r\n\r\n"}}; });
    for (int round = 0; round < 3; ++round) {
        http_client_request request;
        request.address = server.address();
        request.target = "/";
        std::string received;
        transfer_result result = transfer_result::lost;
        request.onData = [&received](std::string_view data) {
            received += data;
            usleep(3000);
        };
        request.onEnd = [&](transfer_result ended, std::uint32_t /*status*/) {
            result = ended;
            m_loop.stop();
        };
        m_client.start(std::move(request));
        m_loop.run();
        CHECK(result == transfer_result::complete);
        CHECK(received == body);
    }
    CHECK(server.connectionsOfRequests() == std::vector<std::size_t>{0, 0, 0});
}

// Guards against an answer without a body that is taken as incomplete because its head names chunks, and against one in
// a coding that nobody asked for.
TEST_CASE_METHOD(http_fixture, "http client, transfer codings, only chunks have to end", "[net]")
{
    struct coded_answer {
        std::string method;
        std::string answer;
        transfer_result result;
    };
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<coded_answer> answers{
        {"HEAD", "HTTP/1.1 200 OK\r\n" + chunked, transfer_result::complete},
        {"GET", "HTTP/1.1 204 No Content\r\n" + chunked, transfer_result::complete},
        {"GET", "HTTP/1.1 304 Not Modified\r\n" + chunked, transfer_result::complete},
        {"GET", "HTTP/1.1 200 OK\r\n" + chunked + "1\r\nx\r\n0\r\n\r\n", transfer_result::complete},
        {"GET",
         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + chunked + "1\r\nx\r\n0\r\n\r\n",
         transfer_result::complete},
        {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked \r\n\r\n1\r\nx\r\n0\r\n\r\n", transfer_result::complete},
        {"GET",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
         transfer_result::lost},
        {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", transfer_result::lost},
        {"GET", "HTTP/1.1 200 OK\r\n" + chunked + "1\r\nx\r\n0\r\nX-End: 1\r\n", transfer_result::lost},
    };
    for (const coded_answer &each : answers) {
        CAPTURE(each.method, each.answer);
        scripted_server server([&each](const std::string & /*request*/) {
            return scripted_answer{{each.answer}, connection_end::close};
        });
        http_client_request request;
        request.method = each.method;
        request.target = "/";
        m_address = server.address();
        m_body.clear();
        runRequest(std::move(request));
        CHECK(m_result == each.result);
        CHECK((m_result == transfer_result::lost || m_body.empty() || m_body == "x"));
    }
}

// Guards against an answer that is taken as complete although its head, its length or its last chunk is missing, or its
// connection was reset; and against one refused because it has neither a length nor chunks.
TEST_CASE_METHOD(http_fixture, "http client, answer ends in every way, is complete only when whole", "[net]")
{
    struct ended_answer {
        scripted_answer answer;
        transfer_result result;
        std::string body;
    };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<ended_answer> answers{
        {{{head + "\r\nwhole ", "body"}, connection_end::close}, transfer_result::complete, "whole body"},
        {{{head + "\r\n"}, connection_end::close}, transfer_result::complete, ""},
        {{{"HTTP/1.0 200 OK\r\n\r\nwhole ", "body"}, connection_end::close}, transfer_result::complete, "whole body"},
        {{{head + "\r\nhalf ", "a body"}, connection_end::reset}, transfer_result::lost, "half a body"},
        {{{head + "\r\n"}, connection_end::reset}, transfer_result::lost, ""},
        {{{head + "Content-Length: 9\r\n\r\n", "half"}, connection_end::close}, transfer_result::lost, "half"},
        {{{chunkedHead + "4\r\nhalf\r\n"}, connection_end::close}, transfer_result::lost, "half"},
        {{{chunkedHead + "4\r\nhalf\r\n", "0\r\n"}, connection_end::close}, transfer_result::lost, "half"},
        {{{head + "X-Field: va"}, connection_end::close}, transfer_result::lost, ""},
        {{{head}, connection_end::close}, transfer_result::lost, ""},
        {{{"HTTP/1.1 100 Continue\r\n\r\n"}, connection_end::close}, transfer_result::lost, ""},
        {{{}, connection_end::close}, transfer_result::lost, ""}};
    for (std::size_t index = 0; index < answers.size(); ++index) {
        INFO("answer " << index);
        const ended_answer &each = answers[index];
        scripted_server server([&each](const std::string & /*request*/) { return each.answer; });
        http_client_request request;
        m_address = server.address();
        request.target = "/";
        m_body.clear();
        runRequest(std::move(request));
        CHECK(m_result == each.result);
        CHECK(m_body == each.body);
    }
}

// Guards against the reuse of a connection after a cancelled transfer: libcurl keeps it when the answer has arrived
// whole. A discarded transfer may leave it open.
TEST_CASE("http client, transfer ended at the head of its answer, keeps the connection only if discarded", "[net]")
{
    const bool isDiscarded = GENERATE(false, true);
    const std::string answer =
        GENERATE(as<std::string>(), "Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nbody");
    scripted_server server(
        [&answer](const std::string & /*request*/) { return scripted_answer{{"HTTP/1.1 200 OK\r\n" + answer}}; });
    event_loop loop;
    http_client client(loop);
    http_client_request request;
    request.address = server.address();
    request.target = "/";
    http_client_request ended = request;
    transfer_number number = 0;
    ended.onHead = [&](const http_response_head & /*head*/) {
        if (isDiscarded) {
            client.discard(number);
        } else {
            client.cancel(number);
        }
        loop.schedule(std::chrono::milliseconds(50), [&] { client.start(request); });
    };
    request.onEnd = [&loop](transfer_result /*result*/, std::uint32_t /*status*/) { loop.stop(); };
    number = client.start(ended);
    loop.run();
    CHECK(server.connectionsOfRequests() == std::vector<std::size_t>{0, isDiscarded ? 0UL : 1UL});
}

// Guards against a head that breaks off and gets the fields of the head behind it.
TEST_CASE("http client, head is malformed or runs into another one, ends as lost", "[net]")
{
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    const std::string earlier = GENERATE(as<std::string>(),
                                         "HTTP/1.1 503 Service Unavailable\r\n",
                                         "HTTP/1.1 503 Service Unavailable\r\nX-Field: 1",
                                         "HTTP/1.1 503 Service Unavailable\r\nX-Fie",
                                         "HTTP/1.1 503 Service",
                                         "HTTP/1.1 503 Service Unavailable\r\nno field\r\n",
                                         "HTTP/1.1 503 Service Unavailable\r\n: no name\r\n");
    INFO(earlier);
    scripted_server server([&](const std::string & /*request*/) { return scripted_answer{{earlier + ok}}; });
    event_loop loop;
    http_client client(loop);
    http_client_request request;
    request.address = server.address();
    request.target = "/";
    transfer_result result = transfer_result::complete;
    bool hasHead = false;
    request.onHead = [&hasHead](const http_response_head & /*head*/) { hasHead = true; };
    request.onEnd = [&](transfer_result ended, std::uint32_t /*status*/) {
        result = ended;
        loop.stop();
    };
    client.start(request);
    loop.run();
    CHECK(result == transfer_result::lost);
    CHECK_FALSE(hasHead);
}

// Guards against sound heads that are refused as malformed.
TEST_CASE("http client, head with interim answer and unusual fields, is read", "[net]")
{
    scripted_server server([](const std::string & /*request*/) {
        return scripted_answer{{"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
                                "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nEmpty:\r\nx_y.z~1: a:b\r\n"
                                "Content-Length: 0\r\n\r\n"}};
    });
    event_loop loop;
    http_client client(loop);
    http_client_request request;
    request.address = server.address();
    request.target = "/";
    http_response_head received;
    request.onHead = [&received](const http_response_head &head) { received = head; };
    request.onEnd = [&loop](transfer_result /*result*/, std::uint32_t /*status*/) { loop.stop(); };
    client.start(request);
    loop.run();
    CHECK(received.status == 200);
    REQUIRE(received.find("x_y.z~1") != nullptr);
    CHECK(*received.find("x_y.z~1") == "a:b");
    CHECK(*received.find("via") == "HTTP/1.1 proxy");
    CHECK(received.find("link") == nullptr);
}
