#include "net/answer_room.h"

#include "net/header_field.h"

#include <algorithm>
#include <string_view>

namespace crocuslane {

namespace {

// libmicrohttpd keeps a linked list of the fields, arguments and cookies of a request.
constexpr std::size_t recordBytes = 64;
// Colon, space and line end.
constexpr std::size_t usualDelimiterBytes = 4;
// The space may be missing, and libmicrohttpd takes a line feed for a line end.
constexpr std::size_t leastDelimiterBytes = 2;
// For the fields that libmicrohttpd adds to an answer, for its alignment, and for the smallest chunk of a stream.
constexpr std::size_t ownBytes = 512;

/// Zero in place of a negative difference.
std::size_t difference(std::size_t from, std::size_t subtracted)
{
    return from - std::min(from, subtracted);
}

std::size_t countRecords(MHD_Connection *connection)
{
    constexpr int kinds = MHD_HEADER_KIND | MHD_FOOTER_KIND | MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND;
    const int count = MHD_get_connection_values(connection, static_cast<MHD_ValueKind>(kinds), nullptr, nullptr);
    return static_cast<std::size_t>(std::max(count, 0));
}

struct field_sum {
    std::size_t delimiterBytes = 0;
    std::size_t bytes = 0;
};

MHD_Result addTrailerField(void *sum, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    const std::string_view text = value != nullptr ? value : "";
    auto &total = *static_cast<field_sum *>(sum);
    total.bytes += std::string_view(name).size() + text.size() + total.delimiterBytes;
    return MHD_YES;
}

/// libmicrohttpd splits a copy of the field.
MHD_Result addCookieField(void *total, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    if (value != nullptr && equalsIgnoringCase(name, "Cookie")) {
        *static_cast<std::size_t *>(total) += std::string_view(value).size() + 1;
    }
    return MHD_YES;
}

std::size_t headBytes(MHD_Connection *connection)
{
    return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)->header_size;
}

std::size_t trailerBytes(MHD_Connection *connection, std::size_t delimiterBytes)
{
    field_sum fields{delimiterBytes};
    MHD_get_connection_values(connection, MHD_FOOTER_KIND, &addTrailerField, &fields);
    return fields.bytes;
}

std::size_t cookieBytes(MHD_Connection *connection)
{
    std::size_t bytes = 0;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &addCookieField, &bytes);
    return bytes;
}

/// Memory that libmicrohttpd holds for a request that has been read to its end.
std::size_t requestMemory(MHD_Connection *connection)
{
    return headBytes(connection) + trailerBytes(connection, usualDelimiterBytes) + cookieBytes(connection)
        + recordBytes * countRecords(connection);
}

/// Upper bound of the bytes that libmicrohttpd has read beyond a request. It reads into a buffer of half of the memory,
/// which the head is part of, and enlarges a buffer that is full by up to an eighth of the memory. Only after a single
/// line with the size of a chunk that is larger than the buffer may there be more.
std::size_t mostReadAhead(MHD_Connection *connection, std::size_t connectionMemory)
{
    const std::size_t buffer = connectionMemory / 2;
    const std::size_t enlargement = connectionMemory / 8;
    return std::min(buffer, difference(buffer, headBytes(connection)) + enlargement);
}

} // namespace

std::size_t leastRequestBytes(MHD_Connection *connection, std::size_t bodyBytes)
{
    return headBytes(connection) + bodyBytes + trailerBytes(connection, leastDelimiterBytes);
}

std::size_t answerRoom(MHD_Connection *connection, std::size_t connectionMemory, std::optional<std::size_t> readAhead)
{
    const std::size_t room = difference(connectionMemory, requestMemory(connection) + ownBytes);
    const std::size_t most = mostReadAhead(connection, connectionMemory);
    return difference(room, std::min(readAhead.value_or(most), most));
}

} // namespace crocuslane
