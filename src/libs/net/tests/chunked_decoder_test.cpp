#include "net/chunked_decoder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace crocuslane;

namespace {

constexpr std::size_t maximumTrailerBytes = 100;

/// The data of a body that arrives in pieces of @p pieceBytes; nothing when it is malformed or not complete.
std::optional<std::string> decodeWhole(const std::string &body, std::size_t pieceBytes)
{
    chunked_decoder decoder(maximumTrailerBytes);
    std::string data;
    for (std::size_t at = 0; at < body.size(); at += pieceBytes) {
        if (!decoder.decode(std::string_view(body).substr(at, pieceBytes), data)) {
            return std::nullopt;
        }
    }
    return decoder.isComplete() ? std::optional(data) : std::nullopt;
}

/// Feeds @p piece until the decoder refuses it; the number of bytes taken, or @p most.
std::size_t bytesTaken(const std::string &beginning, const std::string &piece, std::size_t most)
{
    chunked_decoder decoder(maximumTrailerBytes);
    std::string data;
    REQUIRE(decoder.decode(beginning, data));
    std::size_t taken = 0;
    while (taken < most && decoder.decode(piece, data)) {
        taken += piece.size();
        data.clear();
    }
    return taken;
}

} // namespace

// Guards against a body that depends on how it is split on its way, or loses bytes.
TEST_CASE("chunks, split at any byte, are put together", "[net]")
{
    const std::string body =
        "5\r\nhello\r\n1;name=\"value\"\r\n,\r\n006 \r\n world\r\nA\n0123456789\n0\r\nX-End: 1\r\n\r\n";
    for (std::size_t piece = 1; piece <= body.size(); ++piece) {
        CAPTURE(piece);
        CHECK(decodeWhole(body, piece) == "hello, world0123456789");
        CHECK(decodeWhole(body + "HTTP/1.1 200 OK\r\n", piece) == "hello, world0123456789");
        CHECK(decodeWhole("0\r\n\r\n", piece) == "");
    }
}

// Guards against an answer that is taken as complete although its end is missing.
TEST_CASE("chunks, end at any byte before the last, are not complete", "[net]")
{
    const std::string body = "5\r\nhello\r\n0\r\nX-End: 1\r\n\r\n";
    for (std::size_t size = 1; size < body.size(); ++size) {
        CAPTURE(size);
        CHECK_FALSE(decodeWhole(body.substr(0, size), 3));
    }
}

// Guards against bytes that are no chunks and are passed on as data.
TEST_CASE("chunks, malformed, are refused", "[net]")
{
    const std::string body = GENERATE("\r\n",
                                      "x\r\n",
                                      "-1\r\na\r\n",
                                      " 1\r\na\r\n",
                                      ";a\r\n",
                                      "1\r\nab\r\n0\r\n\r\n",
                                      "1\r\na\r\r\n0\r\n\r\n",
                                      "1\r\na0\r\n\r\n",
                                      "1000000000000000\r\na\r\n",
                                      "HTTP/1.1 200 OK\r\n\r\n");
    CAPTURE(body);
    CHECK_FALSE(decodeWhole(body, 1));
    CHECK_FALSE(decodeWhole(body, body.size()));
}

// Guards against bytes without end that are no data: they are read on until the time of the request is over.
TEST_CASE("chunks, no data without end, are refused after a bounded number of bytes", "[net]")
{
    constexpr std::size_t bound = 100'000;
    CHECK(bytesTaken("5;", std::string(1000, 'x'), 10 * bound) < bound);
    CHECK(bytesTaken("5", std::string(1000, '\r'), 10 * bound) < bound);
    CHECK(bytesTaken("", std::string(1000, '0'), 10 * bound) < bound);
    CHECK(bytesTaken("1\r\nx", std::string(1000, '\r'), 10 * bound) < bound);
    CHECK(bytesTaken("0\r\n", "X-Field: value\r\n", 10 * bound) < bound);
    CHECK(bytesTaken("0\r\n", std::string(1000, '\r'), 10 * bound) < bound);
    CHECK(bytesTaken("", "1;" + std::string(1000, 'x') + "\r\nx\r\n", 10 * bound) < bound);
}

// Guards against a sound stream that is refused because each of its chunks has an extension.
TEST_CASE("chunks, many with short extensions, are put together", "[net]")
{
    constexpr std::size_t much = 10'000'000;
    CHECK(bytesTaken("", "14;n=1\r\n01234567890123456789\r\n", much) >= much);
    CHECK(bytesTaken("", "1\r\nx\r\n", much) >= much);
}
