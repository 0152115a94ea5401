#pragma once

#include "edge/backend_client.h"
#include "kernel/types.h"

#include <variant>

namespace crocuslane {

struct http_request;

/// A model request read from HTTP, with what only the edge needs.
struct parsed_model_request {
    model_request request;
    model_body body;
    bool isStreaming = false;
    /// Id that the caller sees.
    std::string callerRequestId;
};

struct parsed_service_call {
    service_call call;
    call_body body;
    std::string callerRequestId;
};

/// SHA-256 of the bearer key, hexadecimal; empty when there is none.
std::string callerKeyHash(const http_request &request);

/// Reads POST /v1/chat/completions. @p generatedId is used when the caller sent no id.
std::variant<parsed_model_request, request_error> readModelRequest(const http_request &request,
                                                                   const std::string &generatedId);
/// Reads a call below /v1/services/.
std::variant<parsed_service_call, request_error> readServiceCall(const http_request &request,
                                                                 const std::string &generatedId);

} // namespace crocuslane
