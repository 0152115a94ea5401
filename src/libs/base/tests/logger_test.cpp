#include "base/logger.h"
#include "base/outside_text.h"
#include "support/output_capture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace crocuslane;

namespace {

// Larger writes to a pipe may block.
constexpr std::size_t pipeLineBytes = 4096;

/// The line that the logger writes for one field with @p value.
std::string lineOf(const std::string &value)
{
    output_capture capture;
    manual_clock clock;
    logger log(clock, "test", log_level::info);
    log.write(log_level::info, "line", {{"value", value}});
    return capture.finish();
}

std::string valueIn(const std::string &line)
{
    constexpr std::string_view key = " value=";
    return line.substr(line.find(key) + key.size());
}

} // namespace

// Guards against text of a caller or another writer that forges a log line or makes the log unreadable.
TEST_CASE("logger, value with control characters or bytes that are not UTF-8, escapes them", "[base]")
{
    CHECK(valueIn(lineOf("plain")) == "plain\n");
    CHECK(valueIn(lineOf("two words")) == "\"two words\"\n");
    CHECK(valueIn(lineOf("caf\xc3\xa9")) == "caf\xc3\xa9\n");
    CHECK(valueIn(lineOf("a\"b\\c")) == "\"a\\\"b\\\\c\"\n");
    CHECK(valueIn(lineOf("a\r\nb")) == "\"a\\r\\nb\"\n");
    CHECK(valueIn(lineOf("caf\xe9")) == "\"caf\\xe9\"\n");
    CHECK(valueIn(lineOf(std::string("a\0b\x1b\x7f", 5))) == "\"a\\x00b\\x1b\\x7f\"\n");
}

// Guards against a line that blocks the process because it is larger than what a pipe takes at once.
TEST_CASE("logger, very long value, writes a short line", "[base]")
{
    const std::string line = lineOf(std::string(32768, 'x'));
    CHECK(line.size() < pipeLineBytes);
    CHECK(line.back() == '\n');
    CHECK(lineOf(std::string(32768, '\xff')).size() < pipeLineBytes);
}

// Guards against text that is taken for UTF-8 here and rejected by a JSON parser or a peer.
TEST_CASE("plain text, overlong forms, surrogates and control characters, is none of them", "[base]")
{
    for (const char *text : {"\xc0\x80", "\xe0\x80\x80", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xff", "\xc3", "a\n"}) {
        CHECK_FALSE(isPlainText(text));
    }
    CHECK(isPlainText("a caf\xc3\xa9 \xe2\x82\xac \xf0\x9f\x8c\xb7"));
}
