#include "net/block_buffer.h"

#include <catch2/catch.hpp>

#include <memory>

#include <malloc.h>

using namespace crocuslane;

namespace {

std::string readAll(block_buffer &buffer, std::size_t piece)
{
    std::string text;
    std::string target(piece, ' ');
    for (std::size_t count = buffer.read(target.data(), piece); count > 0; count = buffer.read(target.data(), piece)) {
        text += target.substr(0, count);
    }
    return text;
}

} // namespace

// Guards against bytes of a stream that are lost, doubled or out of order between blocks.
TEST_CASE("block buffer, pieces of all sizes, gives the same bytes", "[net]")
{
    block_buffer buffer;
    std::string expected;
    for (const std::size_t size : {1U, 16383U, 1U, 0U, 16384U, 40000U, 7U}) {
        const std::string piece(size, static_cast<char>('a' + expected.size() % 26));
        buffer.append(piece);
        expected += piece;
        CHECK(buffer.size() == expected.size());
    }
    const std::size_t readSize = GENERATE(1U, 1000U, 16384U, 100000U);
    CHECK(readAll(buffer, readSize) == expected);
    CHECK(buffer.size() == 0);
    buffer.append("next");
    CHECK(readAll(buffer, readSize) == "next");
}

// Guards against the bytes of a cleared buffer that come back, or are counted.
TEST_CASE("block buffer, cleared while a block is half read, is empty", "[net]")
{
    block_buffer buffer;
    buffer.append(std::string(20000, 'x'));
    std::string target(10, ' ');
    buffer.read(target.data(), target.size());
    buffer.clear();
    CHECK(buffer.size() == 0);
    CHECK(readAll(buffer, 10).empty());
    buffer.append("new");
    CHECK(readAll(buffer, 10) == "new");
}

// Guards against streams that take up to twice the memory that is counted for them, as a string that grows and never
// shrinks does. The address sanitizer reports no memory in use; the check then holds in any case.
TEST_CASE("block buffer, filled slowly and partly read, takes little more memory than its bytes", "[net]")
{
    constexpr std::size_t pieceBytes = 2000;
    constexpr std::size_t filledBytes = 1'100'000;
    constexpr std::size_t addedBytes = 64UL * 1024UL;
    const auto buffer = std::make_unique<block_buffer>();
    const std::string piece(pieceBytes, 'x');
    std::string target(pieceBytes, ' ');
    const std::size_t usedBefore = mallinfo2().uordblks;
    while (buffer->size() < filledBytes) {
        buffer->append(piece);
        buffer->append(piece);
        buffer->read(target.data(), target.size());
    }
    const std::size_t used = mallinfo2().uordblks + mallinfo2().hblkhd - usedBefore;
    CHECK(used < filledBytes + filledBytes / 4 + addedBytes);
    while (buffer->read(target.data(), target.size()) > 0) { }
    CHECK(mallinfo2().uordblks + mallinfo2().hblkhd < usedBefore + addedBytes);
}
