#include "net/byte_budget.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "support/loop_wait.h"
#include "support/raw_caller.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace crocuslane;

namespace {

constexpr const char *address = "127.0.0.1:23170";
constexpr std::size_t budgetBytes = 400'000;
constexpr std::size_t answerReserveBytes = 100'000;

/// A server that keeps at most 400 KB of requests and answers. The test sends the answers.
class kept_bytes_fixture : public http_handler
{
public:
    kept_bytes_fixture()
    {
        REQUIRE(m_server.listen(address));
    }

    void handleRequest(const std::shared_ptr<http_exchange> &exchange) override
    {
        m_exchanges.push_back(exchange);
    }

    void handleAbandoned(const http_exchange & /*exchange*/) override
    {
    }

protected:
    static http_server_limits limits(byte_budget &budget)
    {
        http_server_limits limits{budgetBytes, 100};
        limits.keptBytes = &budget;
        return limits;
    }

    /// The exchange of a stream that has begun and whose client reads nothing.
    std::shared_ptr<http_exchange> beginStream(raw_caller &caller)
    {
        const std::size_t before = m_exchanges.size();
        caller.sendOnly("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
        REQUIRE(runUntil(m_loop, [&] { return m_exchanges.size() > before; }));
        m_exchanges.back()->begin(200, {});
        return m_exchanges.back();
    }

    /// True as long as all of @p bytes are taken.
    static bool send(http_exchange &stream, std::size_t bytes)
    {
        constexpr std::size_t pieceBytes = 2000;
        for (std::size_t sent = 0; sent < bytes; sent += pieceBytes) {
            if (!stream.send(std::string(pieceBytes, 'x'))) {
                return false;
            }
        }
        return true;
    }

    /// Requests that wait for the last byte of their bodies.
    void addUnfinished(std::size_t count, const std::string &fields, std::size_t bodyBytes)
    {
        for (std::size_t number = 0; number < count; ++number) {
            m_unfinished.push_back(std::make_unique<raw_caller>(address));
            m_unfinished.back()->sendOnly("POST /x HTTP/1.1\r\nHost: h\r\n" + fields + "Content-Length: "
                                          + std::to_string(bodyBytes + 1) + "\r\n\r\n" + std::string(bodyBytes, 'b'));
        }
        bool isOver = false;
        m_loop.schedule(std::chrono::milliseconds(300), [&isOver] { isOver = true; });
        runUntil(m_loop, [&isOver] { return isOver; });
    }

    event_loop m_loop;
    byte_budget m_budget{budgetBytes, answerReserveBytes};
    http_server m_server{m_loop, *this, limits(m_budget)};
    std::vector<std::shared_ptr<http_exchange>> m_exchanges;
    std::vector<std::unique_ptr<raw_caller>> m_unfinished;
};

} // namespace

// Guards against the stream of an ordinary client that is broken off because a crowd's unfinished requests, by their
// many fields or by their bodies, have used up the memory.
TEST_CASE_METHOD(kept_bytes_fixture, "stream, unfinished requests fill the memory, goes on", "[net]")
{
    const bool hasManyFields = GENERATE(true, false);
    CAPTURE(hasManyFields);
    std::string fields;
    for (int number = 100; hasManyFields && number < 500; ++number) {
        fields += "n" + std::to_string(number) + ": v\r\n";
    }
    addUnfinished(12, fields, hasManyFields ? 39 : 60'000);
    raw_caller caller(address);
    const auto stream = beginStream(caller);
    CHECK(send(*stream, 50'000));
    CHECK(m_budget.used() <= budgetBytes);
}

// Guards against an ordinary client's stream that is broken off because others don't read theirs.
TEST_CASE_METHOD(kept_bytes_fixture, "stream, others leave theirs unread, goes on in their place", "[net]")
{
    raw_caller slow(address);
    raw_caller slower(address);
    raw_caller ordinary(address);
    const auto slowStream = beginStream(slow);
    const auto slowerStream = beginStream(slower);
    const auto stream = beginStream(ordinary);
    CHECK(send(*slowStream, 150'000));
    CHECK(send(*slowerStream, 240'000));
    CHECK(send(*stream, 50'000));
    CHECK(m_server.evictedCount() == 1);
    CHECK(send(*slowStream, 10'000));
    CHECK(m_budget.used() < budgetBytes);
}

// Guards against heads of complete requests that exceed the memory together: they are refused before they run.
TEST_CASE_METHOD(kept_bytes_fixture, "request, heads fill the memory, is shed without its fields", "[net]")
{
    std::string fields;
    for (int number = 100; number < 500; ++number) {
        fields += "n" + std::to_string(number) + ": v\r\n";
    }
    constexpr std::size_t count = 10;
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (std::size_t number = 0; number < count; ++number) {
        callers.push_back(std::make_unique<raw_caller>(address));
        callers.back()->sendOnly("GET /x HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
    }
    REQUIRE(runUntil(m_loop, [this] { return m_exchanges.size() == count; }));
    std::size_t shed = 0;
    for (const auto &exchange : m_exchanges) {
        shed += exchange->request().isShed ? 1 : 0;
        CHECK(exchange->request().fields.empty() == exchange->request().isShed);
    }
    CHECK(shed > 0);
    CHECK(shed < count);
    CHECK(m_budget.used() <= budgetBytes - answerReserveBytes / 2);
}

// Guards against small requests that are refused because large ones fill the memory.
TEST_CASE_METHOD(kept_bytes_fixture, "small request, bodies of others fill the memory, is handled whole", "[net]")
{
    addUnfinished(12, {}, 60'000);
    raw_caller caller(address);
    caller.sendOnly("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\norder");
    REQUIRE(runUntil(m_loop, [this] { return m_exchanges.size() == 1; }));
    CHECK(m_exchanges.front()->request().body == "order");
    CHECK_FALSE(m_exchanges.front()->request().isShed);
}
