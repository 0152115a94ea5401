#include "log/log_store.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

constexpr system_time start{1000s};

} // namespace

// Guards against offsets that repeat or skip, and against offsets shared between streams.
TEST_CASE("log store, appends to two streams, offsets count per stream", "[log]")
{
    log_store store;
    CHECK(store.stream("a").append("1", "x", start) == 0);
    CHECK(store.stream("a").append("2", "y", start) == 1);
    CHECK(store.stream("b").append("3", "z", start) == 0);
    const auto records = store.stream("a").read(1, 10);
    REQUIRE(records.size() == 1);
    CHECK(records[0].offset == 1);
    CHECK(records[0].id == "2");
    CHECK(records[0].payload == "y");
}

// Guards against a log that discards a record with a repeated id: duplicates are ignored by the readers, not by the
// log.
TEST_CASE("log stream, repeated id, is stored again", "[log]")
{
    log_stream stream;
    stream.append("1", "x", start);
    CHECK(stream.append("1", "x", start) == 1);
    CHECK(stream.endOffset() == 2);
}

// Guards against offsets that restart at 0 after retention has removed all records.
TEST_CASE("log stream, retention, removes old records and keeps offsets", "[log]")
{
    log_stream stream;
    stream.append("1", "x", start);
    stream.append("2", "y", start + 10s);
    stream.removeOlderThan(start + 5s);
    CHECK(stream.firstOffset() == 1);
    REQUIRE(stream.read(0, 10).size() == 1);
    CHECK(stream.read(0, 10)[0].offset == 1);
    stream.removeOlderThan(start + 60s);
    CHECK(stream.firstOffset() == 2);
    CHECK(stream.endOffset() == 2);
    CHECK(stream.read(0, 10).empty());
    CHECK(stream.append("3", "z", start + 61s) == 2);
}

// Guards against reads beyond the end of the stream and against an ignored maximum.
TEST_CASE("log stream, read past the end or with a maximum, returns only existing records up to the maximum", "[log]")
{
    log_stream stream;
    for (int index = 0; index < 5; ++index) {
        stream.append(std::to_string(index), "", start);
    }
    CHECK(stream.read(7, 10).empty());
    CHECK(stream.read(5, 10).empty());
    CHECK(stream.read(1, 3).size() == 3);
    CHECK(stream.read(4, 3).size() == 1);
}

// Guards against append times that decrease when the clock is set back; the validity of claims depends on their order.
TEST_CASE("log stream, clock set back, append times don't decrease", "[log]")
{
    log_stream stream;
    stream.append("1", "", start);
    stream.append("2", "", start - 5s);
    const auto records = stream.read(0, 10);
    CHECK(records[1].appendTime == records[0].appendTime);
}

// Guards against a rate limiter that admits more than the set rate, or that admits nothing after the first refusal.
TEST_CASE("rate limiter, demand above the rate, admits the rate", "[log]")
{
    rate_limiter limiter(100.0);
    unsigned admitted = 0;
    for (int millisecond = 0; millisecond < 10000; ++millisecond) {
        admitted += limiter.tryAcquire(steady_time(1000s) + std::chrono::milliseconds(millisecond)) ? 1 : 0;
    }
    CHECK(admitted >= 990);
    CHECK(admitted <= 1011);
}

// Guards against payload bytes that are altered by the encoding; most vectors are from RFC 4648.
TEST_CASE("base64, test vectors, are encoded correctly", "[log]")
{
    CHECK(encodeBase64("").empty());
    CHECK(encodeBase64("f") == "Zg==");
    CHECK(encodeBase64("fo") == "Zm8=");
    CHECK(encodeBase64("foobar") == "Zm9vYmFy");
    CHECK(encodeBase64(std::string_view("\0\xff", 2)) == "AP8=");
}
