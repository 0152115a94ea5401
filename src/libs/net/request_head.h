#pragma once

#include <microhttpd.h>

#include <cstddef>

namespace crocuslane {

struct http_request;

/// Memory in bytes that copyHead() takes.
std::size_t headMemory(MHD_Connection *connection);
/// Copies the fields and the query of a request. Until then, they are in the memory of the connection only.
void copyHead(MHD_Connection *connection, http_request &request);

} // namespace crocuslane
