#include "net/answer_room.h"

#include "net/header_field.h"
#include "net/input_position.h"

#include <algorithm>
#include <optional>
#include <string_view>

namespace crocuslane {

namespace {

// libmicrohttpd keeps a linked list of the fields, arguments and cookies of a request.
constexpr std::size_t recordBytes = 64;
// Colon, space and line end.
constexpr std::size_t fieldDelimiterBytes = 4;
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

MHD_Result addTrailerField(void *total, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    const std::string_view text = value != nullptr ? value : "";
    *static_cast<std::size_t *>(total) += std::string_view(name).size() + text.size() + fieldDelimiterBytes;
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

std::size_t trailerBytes(MHD_Connection *connection)
{
    std::size_t bytes = 0;
    MHD_get_connection_values(connection, MHD_FOOTER_KIND, &addTrailerField, &bytes);
    return bytes;
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
    return headBytes(connection) + trailerBytes(connection) + cookieBytes(connection)
        + recordBytes * countRecords(connection);
}

} // namespace

std::size_t requestBytes(MHD_Connection *connection, std::size_t bodyBytes)
{
    return headBytes(connection) + bodyBytes + trailerBytes(connection);
}

std::size_t answerRoom(MHD_Connection *connection, std::size_t connectionMemory, const input_position *position)
{
    const std::size_t room = difference(connectionMemory, requestMemory(connection) + ownBytes);
    // libmicrohttpd reads into a buffer of this size.
    const std::size_t mostReadAhead = connectionMemory / 2;
    const std::optional<std::size_t> readAhead = position != nullptr ? position->readAheadBytes() : std::nullopt;
    return difference(room, readAhead.value_or(mostReadAhead));
}

} // namespace crocuslane
