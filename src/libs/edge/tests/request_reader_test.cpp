#include "edge/base64.h"
#include "edge/request_reader.h"
#include "net/http_server.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

/// Reads model requests from bodies and returns their errors or ids.
class request_reader_fixture
{
protected:
    std::string errorMessageOf(const std::string &body)
    {
        m_request.body = body;
        const auto read = readModelRequest(m_request, "generated");
        const auto *error = std::get_if<request_error>(&read);
        return error ? error->message : "";
    }

    request_id requestIdOf(const std::string &body)
    {
        m_request.body = body;
        return std::get<parsed_model_request>(readModelRequest(m_request, "generated")).request.request;
    }

    http_request m_request{
        .method = "POST", .path = "/v1/chat/completions", .fields = {{"authorization", "Bearer key"}}};
};

constexpr const char *validBody =
    R"({"model":"advice/small@1","messages":[{"role":"user","content":"hello"}],"stream":true,"max_tokens":7,)"
    R"("metadata":{"kind":"species-check","resume_from":"3"}})";

} // namespace

// Guards against a field of the request that is ignored.
TEST_CASE_METHOD(request_reader_fixture, "model request, all fields, are read", "[edge]")
{
    m_request.body = validBody;
    const auto parsed = std::get<parsed_model_request>(readModelRequest(m_request, "generated"));
    CHECK(parsed.request.service == service_id("advice"));
    CHECK(parsed.request.wantedVersion == version_id("small@1"));
    CHECK(parsed.request.kind == kind_id("species-check"));
    CHECK(parsed.request.resumeFrom == 3);
    CHECK(parsed.request.maximumTokens == 7);
    CHECK(parsed.isStreaming);
    CHECK(parsed.callerRequestId == "generated");
}

// Guards against an error message that does not name the faulty field, and against a crash on input of the wrong type.
TEST_CASE_METHOD(request_reader_fixture,
                 "model request, malformed, is refused with the name of the faulty field",
                 "[edge]")
{
    CHECK(errorMessageOf("{") == "body: expected a JSON object");
    CHECK(errorMessageOf("[]") == "body: expected a JSON object");
    CHECK(errorMessageOf(R"({"model":1})") == "model: expected a string");
    CHECK(errorMessageOf(R"({"model":"a","messages":{}})").starts_with("messages:"));
    CHECK(errorMessageOf(R"({"model":"a","messages":[1]})").starts_with("messages:"));
    CHECK(errorMessageOf(R"({"model":"a/b","messages":[{"content":"x"}]})").starts_with("model:"));
    CHECK(errorMessageOf(R"({"model":"a","messages":[{"content":"x"}],"metadata":3})").starts_with("metadata:"));
    CHECK(errorMessageOf(R"({"model":"a","messages":[{"content":"x"}],"metadata":{"resume_from":-1}})")
              .starts_with("metadata.resume_from:"));
    CHECK(errorMessageOf(R"({"model":"a","messages":[{"content":"x"}],"max_tokens":-1})").starts_with("max_tokens:"));
    CHECK(errorMessageOf("{\"model\":\"\xff\",\"messages\":[{\"content\":\"x\"}]}") == "body: expected a JSON object");
}

// Guards against one bill for two requests: callers may send the same id with another key or another content, which
// makes it another request.
TEST_CASE_METHOD(request_reader_fixture, "request id, same id of the caller, differs by key and content", "[edge]")
{
    m_request.fields.push_back({"x-request-id", "one"});
    const request_id first = requestIdOf(R"({"model":"a","messages":[{"content":"x"}]})");
    CHECK(first == requestIdOf(R"({"model":"a","messages":[{"content":"x"}],"metadata":{"resume_from":5}})"));
    CHECK_FALSE(first == requestIdOf(R"({"model":"a","messages":[{"content":"y"}]})"));
    m_request.fields.push_back({"authorization", "Bearer other"});
    CHECK_FALSE(first == requestIdOf(R"({"model":"a","messages":[{"content":"x"}]})"));
}

// Guards against changed bytes in the records of the log service, which are transferred as base64.
TEST_CASE("base64, any bytes, decode to the same bytes", "[edge]")
{
    for (const std::string &data : {std::string(), std::string("a"), std::string("\0\xff=", 3), std::string("abcd")}) {
        CHECK(decodeBase64(encodeBase64(data)) == data);
    }
    CHECK_FALSE(decodeBase64("abc"));
}
