#include "net/tests/http_fixture.h"
#include "support/loop_wait.h"
#include "support/raw_caller.h"

#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <vector>

using namespace crocuslane;

namespace {

constexpr std::size_t bodyLimit = 1000;
constexpr std::size_t answerBodyBytes = 800;

/// @p count texts, one after the other, each with its number.
std::string numbered(int count, const std::function<std::string(int)> &text)
{
    std::string result;
    for (int number = 0; number < count; ++number) {
        result += text(number);
    }
    return result;
}

std::string shortFields(int count)
{
    return numbered(count, [](int number) { return "n" + std::to_string(100 + number) + ": v\r\n"; });
}

std::string requestText(const std::string &target, const std::string &fields)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h.example\r\n" + fields + "Content-Length: 5\r\n\r\norder";
}

/// Requests whose memory grows with a count, in one of the forms that libmicrohttpd keeps beside the head.
struct growing_request {
    const char *form;
    std::function<std::string(int)> text;
    /// Counts between which the memory of the connection is used up.
    int firstCount;
    int lastCount;
};

std::vector<growing_request> growingRequests()
{
    const auto fields = [](int count) { return requestText("/whole", shortFields(count)); };
    const auto streamed = [](int count) { return requestText("/stream", shortFields(count)); };
    const auto longFields = [](int count) {
        return requestText("/whole", numbered(count, [](int number) {
                               return "n" + std::to_string(100 + number) + ": " + std::string(32, 'v') + "\r\n";
                           }));
    };
    const auto arguments = [](int count) {
        return requestText("/whole?" + numbered(count, [](int) { return std::string("a&"); }), {});
    };
    const auto cookies = [](int count) {
        return requestText("/whole",
                           "Cookie: " + numbered(count, [](int) { return std::string("a=b; "); }) + "a=b\r\n");
    };
    const auto trailer = [](int count) {
        return "POST /whole HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n"
            + shortFields(count) + "\r\n";
    };
    const auto sentAhead = [](int count) {
        constexpr std::size_t bytesEach = 40;
        return requestText("/whole", shortFields(380)) + "POST /whole HTTP/1.1\r\nHost: h.example\r\nX-Next: "
            + std::string(bytesEach * static_cast<std::size_t>(count), 'v');
    };
    const auto sentAheadOfChunks = [](int count) {
        return "POST /whole HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n" + shortFields(count)
            + "\r\n5\r\norder\r\n0\r\n\r\nPOST /whole HTTP/1.1\r\nHost: h.example\r\nX-Next: "
            + std::string(12'000, 'v');
    };
    return {{"fields", fields, 380, 450},
            {"fields, streamed answer", streamed, 380, 450},
            {"longer fields", longFields, 270, 318},
            {"query arguments", arguments, 430, 500},
            {"cookies", cookies, 380, 442},
            {"trailer", trailer, 380, 450},
            {"fields, next request sent ahead", sentAhead, 0, 110},
            {"chunks, next request sent ahead", sentAheadOfChunks, 200, 290}};
}

/// A server whose answers have heads of about the size that it keeps room for.
class answer_room_fixture : public http_handler
{
public:
    answer_room_fixture()
        : m_server(m_loop, *this, limits())
    {
        m_address = listenOnFreeAddress(m_server, 23200);
        REQUIRE_FALSE(m_address.empty());
    }

    void handleRequest(const std::shared_ptr<http_exchange> &exchange) override
    {
        ++m_handled;
        const std::string body(answerBodyBytes, 'b');
        if (exchange->request().path != "/stream") {
            exchange->respond(200, m_answerFields, body);
            return;
        }
        exchange->begin(200, m_answerFields);
        exchange->send(body);
        exchange->finish();
    }

    void handleAbandoned(const http_exchange & /*exchange*/) override
    {
    }

protected:
    static http_server_limits limits()
    {
        return {bodyLimit, 100};
    }

    raw_answer call(raw_caller &caller, const std::string &text)
    {
        std::future<raw_answer> answer = std::async(std::launch::async, [&] { return caller.call(text); });
        const bool isAnswered =
            runUntil(m_loop, [&] { return answer.wait_for(std::chrono::seconds(0)) == std::future_status::ready; });
        if (!isAnswered) {
            throw std::runtime_error("the server neither answers nor closes the connection");
        }
        return answer.get();
    }

    /// Sends a usual request and then @p text on the same connection. True unless the latter was handled without a
    /// complete answer.
    bool isAnsweredIfHandled(const std::string &text)
    {
        raw_caller caller(m_address);
        REQUIRE(call(caller, requestText("/whole", {})).head.starts_with("HTTP/1.1 200 "));
        const int handledBefore = m_handled;
        const raw_answer answer = call(caller, text);
        m_isHandled = m_handled > handledBefore;
        m_isRefused = answer.head.starts_with("HTTP/1.1 431 ");
        const bool isComplete = answer.head.starts_with("HTTP/1.1 200 ") && answer.isFramed
            && answer.body == std::string(answerBodyBytes, 'b');
        return !m_isHandled || isComplete;
    }

    event_loop m_loop;
    const header_list m_answerFields{{"Content-Type", "application/json"}, {"X-Note", std::string(1980, 'a')}};
    http_server m_server;
    std::string m_address;
    int m_handled = 0;
    bool m_isHandled = false;
    bool m_isRefused = false;
};

} // namespace

// Guards against a request that is handled, so that its order is carried out, although it has left too little memory of
// its connection for the head of the answer: the connection is then closed without one.
TEST_CASE_METHOD(answer_room_fixture,
                 "http server, request leaves no room for an answer, is refused before it is handled",
                 "[net]")
{
    for (const growing_request &request : growingRequests()) {
        CAPTURE(request.form);
        int unanswered = 0;
        int refused = 0;
        bool isFirstHandled = false;
        for (int count = request.firstCount; count <= request.lastCount; ++count) {
            unanswered += isAnsweredIfHandled(request.text(count)) ? 0 : 1;
            refused += m_isRefused ? 1 : 0;
            isFirstHandled = isFirstHandled || (count == request.firstCount && m_isHandled);
        }
        CHECK(isFirstHandled);
        CHECK(unanswered == 0);
        CHECK(refused > 0);
    }
    CHECK(m_server.refusedHeadCount() > 0);
}

// Guards against the same when the request's line was sent ahead in part, after a request in chunks whose exact size
// isn't known: that part must not count as bytes of the earlier request.
TEST_CASE_METHOD(answer_room_fixture,
                 "http server, line sent ahead in part after chunks, is refused or answered",
                 "[net]")
{
    const std::string chunkedRequest =
        "POST /whole HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n\r\n";
    const std::string next = "POST /whole HTTP/1.1\r\nX-Next: " + std::string(8000, 'v');
    constexpr std::size_t sentAheadBytes = 5000;
    int unanswered = 0;
    int refused = 0;
    int served = 0;
    for (int count = 130; count <= 270; ++count) {
        const std::string text = requestText("/whole?" + std::string(6000, 'q'), shortFields(count));
        raw_caller caller(m_address);
        // More bytes than the line has.
        REQUIRE(call(caller, requestText("/whole?" + std::string(8000, 'q'), {})).isFramed);
        REQUIRE(call(caller, chunkedRequest + text.substr(0, sentAheadBytes)).head.starts_with("HTTP/1.1 200 "));
        const int handledBefore = m_handled;
        const raw_answer answer = call(caller, text.substr(sentAheadBytes) + next);
        const bool isServed = answer.head.starts_with("HTTP/1.1 200 ") && answer.isFramed;
        unanswered += m_handled > handledBefore && !isServed ? 1 : 0;
        refused += answer.head.starts_with("HTTP/1.1 431 ") ? 1 : 0;
        served += isServed ? 1 : 0;
    }
    CHECK(unanswered == 0);
    CHECK(refused > 0);
    CHECK(served > 0);
}

// Guards against a refusal of requests that are followed by others on their connection, as long as there is room.
TEST_CASE_METHOD(answer_room_fixture, "http server, many fields after earlier requests, are served", "[net]")
{
    raw_caller caller(m_address);
    for (int round = 0; round < 20; ++round) {
        const raw_answer answer = call(caller, requestText("/whole", shortFields(400)));
        CAPTURE(round, answer.head);
        CHECK(answer.head.starts_with("HTTP/1.1 200 "));
    }
}

// Guards against a request that is kept for good, with a connection that no longer exists, because libmicrohttpd has
// closed it without a report: a planned stop would wait for it.
TEST_CASE_METHOD(answer_room_fixture,
                 "http server, query exceeds the connection's memory, keeps nothing of it",
                 "[net]")
{
    std::string target = "/whole?";
    for (int number = 0; number < 600; ++number) {
        target += "a&";
    }
    {
        raw_caller caller(m_address);
        CHECK(call(caller, requestText(target, {})).head.empty());
    }
    CHECK(m_handled == 0);
    CHECK_FALSE(m_server.isBusy());
}
