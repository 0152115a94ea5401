#pragma once

#include <curl/curl.h>

namespace crocuslane {

struct http_client_request;

/// Sets the target, the method, the body, the header lines and the time limits of a transfer. @p request must outlive
/// the transfer. Returns the header lines, which the caller frees after the transfer.
curl_slist *setCurlRequest(CURL *handle, const http_client_request &request);

} // namespace crocuslane
