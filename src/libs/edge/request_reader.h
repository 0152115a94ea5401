#pragma once

#include "edge/backend_client.h"
#include "kernel/types.h"

#include <variant>

namespace crocuslane {

struct http_request;

/// A model request read from HTTP, with the data that only the edge uses.
struct parsed_model_request {
    model_request request;
    model_body body;
    bool isStreaming = false;
    /// Id of the request in the answer to the caller.
    std::string callerRequestId;
};

/// A service call read from HTTP, with the data that only the edge uses.
struct parsed_service_call {
    service_call call;
    call_body body;
    /// Id of the request in the answer to the caller.
    std::string callerRequestId;
};

/// SHA-256 of the bearer key, hexadecimal; empty when the request has none.
std::string callerKeyHash(const http_request &request);

/// Reads POST /v1/chat/completions. @p generatedId is used when the caller sent no id.
std::variant<parsed_model_request, request_error> readModelRequest(const http_request &request,
                                                                   const std::string &generatedId);
/// Reads a request to /v1/services/SERVICE/OPERATION. @p generatedId is used when the caller sent no id.
std::variant<parsed_service_call, request_error> readServiceCall(const http_request &request,
                                                                 const std::string &generatedId);

} // namespace crocuslane
