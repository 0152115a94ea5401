#pragma once

#include <microhttpd.h>

#include <cstddef>
#include <optional>

namespace crocuslane {

/// Lower bound of the size in bytes of a request that has been read to its end, as it stood on its connection. What
/// libmicrohttpd doesn't tell is left out: sizes and extensions of chunks, white space in trailers, and empty lines
/// before the request.
std::size_t leastRequestBytes(MHD_Connection *connection, std::size_t bodyBytes);

/// Size in bytes of the largest answer head that fits into @p connectionMemory beside the request and what has been
/// read beyond its end. libmicrohttpd closes the connection without an answer when it has a larger one to send.
/// @p readAhead is an upper bound of the bytes read beyond the request; empty when it can't be told, as on a TLS
/// connection.
std::size_t answerRoom(MHD_Connection *connection, std::size_t connectionMemory, std::optional<std::size_t> readAhead);

} // namespace crocuslane
