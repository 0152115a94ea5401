#pragma once

#include <microhttpd.h>

#include <cstddef>

namespace crocuslane {

class input_position;

/// Size in bytes of a request that has been read to its end, as it stood on its connection. The sizes of chunks are not
/// known and not counted.
std::size_t requestBytes(MHD_Connection *connection, std::size_t bodyBytes);

/// Size in bytes of the largest answer head that fits into @p connectionMemory beside the request and what has been
/// read beyond its end. libmicrohttpd closes the connection without an answer when it has a larger one to send.
/// @p position is null when it can't tell what has been read beyond the request, as on a TLS connection.
std::size_t answerRoom(MHD_Connection *connection, std::size_t connectionMemory, const input_position *position);

} // namespace crocuslane
