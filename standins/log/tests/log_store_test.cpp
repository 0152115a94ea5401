#include "log/log_store.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

constexpr system_time start{1000s};

} // namespace

// Guards against offsets that repeat or skip, and against streams that share them.
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

// Guards against a log that drops a repeated record id: readers, not the log, ignore repeats.
TEST_CASE("log stream, repeated id, is stored again", "[log]")
{
    log_stream stream;
    stream.append("1", "x", start);
    CHECK(stream.append("1", "x", start) == 1);
    CHECK(stream.endOffset() == 2);
}

// Guards against offsets that start again after retention removed everything.
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

// Guards against reads past the end and against an ignored maximum.
TEST_CASE("log stream, read past the end or with a maximum, gives what there is", "[log]")
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

// Guards against append times that decrease when the clock is set back; validity of claims depends on their order.
TEST_CASE("log stream, clock set back, append times don't decrease", "[log]")
{
    log_stream stream;
    stream.append("1", "", start);
    stream.append("2", "", start - 5s);
    const auto records = stream.read(0, 10);
    CHECK(records[1].appendTime == records[0].appendTime);
}

// Guards against a rate limit that lets more through than set, or never recovers.
TEST_CASE("rate limiter, demand above the rate, passes the rate", "[log]")
{
    rate_limiter limiter(100.0);
    unsigned passed = 0;
    for (int millisecond = 0; millisecond < 10000; ++millisecond) {
        passed += limiter.take(steady_time(1000s) + std::chrono::milliseconds(millisecond)) ? 1 : 0;
    }
    CHECK(passed >= 990);
    CHECK(passed <= 1011);
}

// Guards against payload bytes that get lost on the way; published test vectors of RFC 4648.
TEST_CASE("base64, published vectors, match", "[log]")
{
    CHECK(encodeBase64("").empty());
    CHECK(encodeBase64("f") == "Zg==");
    CHECK(encodeBase64("fo") == "Zm8=");
    CHECK(encodeBase64("foobar") == "Zm9vYmFy");
    CHECK(encodeBase64(std::string_view("\0\xff", 2)) == "AP8=");
}
