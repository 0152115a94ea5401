#include "edge/request_reader.h"

#include "base/digest.h"
#include "net/http_server.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cctype>

namespace crocuslane {

namespace {

using nlohmann::json;

// The router only estimates the number of tokens; engines count them with their own tokenizers.
constexpr std::size_t charactersPerToken = 4;
constexpr std::size_t tokensPerPrefixBlock = 64;
constexpr std::size_t charactersPerPrefixBlock = charactersPerToken * tokensPerPrefixBlock;
constexpr std::size_t prefixBlockLimit = 256;
// Characters.
constexpr std::size_t idLengthLimit = 128;
// Hexadecimal digits of a SHA-256 digest in a request id.
constexpr std::size_t digestPrefixLength = 12;

request_error badRequest(std::string message)
{
    return {error_code::bad_request, execution_state::not_run, std::move(message), 0.0};
}

std::string header(const http_request &request, const std::string &name)
{
    const std::string *value = request.header(name);
    return value == nullptr ? std::string() : *value;
}

bool isValidId(std::string_view text)
{
    return !text.empty() && text.size() <= idLengthLimit
        && std::all_of(text.begin(), text.end(), [](unsigned char character) {
               return std::isalnum(character) || character == '-' || character == '_' || character == '.'
                   || character == ':';
           });
}

/// Returns one hash per block. Each hash is seeded with the one before, so that it covers the prompt from its start.
std::vector<std::uint64_t> hashPrefixes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = 0;
    const std::size_t blocks = std::min(prompt.size() / charactersPerPrefixBlock, prefixBlockLimit);
    for (std::size_t block = 0; block < blocks; ++block) {
        const std::string_view content = prompt.substr(block * charactersPerPrefixBlock, charactersPerPrefixBlock);
        hash = XXH3_64bits_withSeed(content.data(), content.size(), hash);
        hashes.push_back(hash);
    }
    return hashes;
}

/// The id depends on the key and the content too, because requests with the same id from two callers or with different
/// contents are different requests, and each is billed.
request_id internalRequestId(const std::string &keyHash, const std::string &callerId, std::string_view content)
{
    return request_id(keyHash.substr(0, digestPrefixLength) + '/' + callerId + '/'
                      + sha256Hex(content).substr(0, digestPrefixLength));
}

std::optional<request_error> readModelName(const std::string &name, model_request &request)
{
    const std::size_t slash = name.find('/');
    request.service = service_id(name.substr(0, slash));
    if (slash == std::string::npos) {
        return std::nullopt;
    }
    const std::string version = name.substr(slash + 1);
    if (version.find('@') == std::string::npos) {
        return badRequest("model: expected \"service\" or \"service/model@version\", found \"" + name + "\"");
    }
    request.wantedVersion = version_id(version);
    return std::nullopt;
}

std::optional<request_error> readMetadata(const json &content, model_request &request)
{
    const auto metadata = content.find("metadata");
    if (metadata == content.end()) {
        return std::nullopt;
    }
    if (!metadata->is_object()) {
        return badRequest("metadata: expected an object");
    }
    for (const char *name : {"kind", "session"}) {
        if (metadata->contains(name) && !(*metadata)[name].is_string()) {
            return badRequest(std::string("metadata.") + name + ": expected a string");
        }
    }
    request.kind = kind_id(metadata->value("kind", ""));
    request.sessionToken = metadata->value("session", "");
    // Client libraries that allow only strings in "metadata" send the number as text.
    const json resumeFrom = metadata->value("resume_from", json(0U));
    if (resumeFrom.is_number_unsigned()) {
        request.resumeFrom = resumeFrom;
    } else if (resumeFrom.is_string() && isValidId(resumeFrom.get<std::string>())
               && resumeFrom.get<std::string>().find_first_not_of("0123456789") == std::string::npos
               && resumeFrom.get<std::string>().size() < 10) {
        request.resumeFrom = static_cast<std::uint32_t>(std::stoul(resumeFrom.get<std::string>()));
    } else {
        return badRequest("metadata.resume_from: expected a number of tokens, found "
                          + resumeFrom.dump(-1, ' ', false, json::error_handler_t::replace));
    }
    return std::nullopt;
}

std::variant<std::string, request_error> readPrompt(const json &content)
{
    const auto messages = content.find("messages");
    if (messages == content.end() || !messages->is_array() || messages->empty()) {
        return badRequest("messages: expected a list with at least one message");
    }
    std::string prompt;
    for (const json &message : *messages) {
        if (!message.is_object() || !message.contains("content") || !message["content"].is_string()) {
            return badRequest("messages: expected objects with \"role\" and \"content\" as strings");
        }
        prompt += message["content"].get<std::string>();
        prompt += '\n';
    }
    return prompt;
}

std::variant<std::string, request_error> readCallerRequestId(const http_request &request,
                                                             const std::string &generatedId)
{
    const std::string id = header(request, "x-request-id");
    if (id.empty()) {
        return generatedId;
    }
    if (!isValidId(id)) {
        return badRequest("x-request-id: expected at most 128 letters, digits, '-', '_', '.', ':'");
    }
    return id;
}

} // namespace

std::string callerKeyHash(const http_request &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string authorization = header(request, "authorization");
    if (!authorization.starts_with(scheme)) {
        return {};
    }
    return sha256Hex(std::string_view(authorization).substr(scheme.size()));
}

std::variant<parsed_model_request, request_error> readModelRequest(const http_request &request,
                                                                   const std::string &generatedId)
{
    const json content = json::parse(request.body, nullptr, false);
    if (!content.is_object()) {
        return badRequest("body: expected a JSON object");
    }
    if (!content.contains("model") || !content["model"].is_string()) {
        return badRequest("model: expected a string");
    }
    const std::variant<std::string, request_error> callerId = readCallerRequestId(request, generatedId);
    if (const auto *error = std::get_if<request_error>(&callerId)) {
        return *error;
    }
    parsed_model_request parsed;
    parsed.callerRequestId = std::get<std::string>(callerId);
    if (const auto error = readModelName(content["model"], parsed.request)) {
        return *error;
    }
    if (const auto error = readMetadata(content, parsed.request)) {
        return *error;
    }
    const std::variant<std::string, request_error> prompt = readPrompt(content);
    if (const auto *error = std::get_if<request_error>(&prompt)) {
        return *error;
    }
    for (const char *name : {"max_tokens", "max_completion_tokens"}) {
        if (!content.contains(name) || content[name].is_null()) {
            continue;
        }
        if (!content[name].is_number_unsigned() || content[name].get<std::uint64_t>() > 1'000'000) {
            return badRequest(std::string(name) + ": expected a number from 0 to 1000000");
        }
        parsed.request.maximumTokens = content[name];
    }
    if (content.contains("stream") && !content["stream"].is_boolean() && !content["stream"].is_null()) {
        return badRequest("stream: expected true or false");
    }
    parsed.isStreaming = content.contains("stream") && content["stream"].is_boolean() && content["stream"].get<bool>();
    const std::string &text = std::get<std::string>(prompt);
    parsed.request.callerKeyHash = callerKeyHash(request);
    parsed.request.promptTokens = static_cast<std::uint32_t>(text.size() / charactersPerToken + 1);
    parsed.request.prefixHashes = hashPrefixes(text);
    // The parser refused input that is not UTF-8, so dump() can't throw.
    parsed.body = {content["messages"].dump(), parsed.request.maximumTokens};
    parsed.request.request =
        internalRequestId(parsed.request.callerKeyHash,
                          parsed.callerRequestId,
                          content["model"].get<std::string>() + '\n' + std::to_string(parsed.request.maximumTokens)
                              + '\n' + parsed.body.messages);
    return parsed;
}

std::variant<parsed_service_call, request_error> readServiceCall(const http_request &request,
                                                                 const std::string &generatedId)
{
    constexpr std::string_view prefix = "/v1/services/";
    const std::string serviceAndOperation = request.path.substr(prefix.size());
    const std::size_t slash = serviceAndOperation.find('/');
    if (slash == std::string::npos || !isValidId(serviceAndOperation.substr(0, slash))
        || !isValidId(serviceAndOperation.substr(slash + 1))) {
        return badRequest("path: expected /v1/services/SERVICE/OPERATION");
    }
    const std::variant<std::string, request_error> callerId = readCallerRequestId(request, generatedId);
    if (const auto *error = std::get_if<request_error>(&callerId)) {
        return *error;
    }
    parsed_service_call parsed;
    parsed.callerRequestId = std::get<std::string>(callerId);
    parsed.call.service = service_id(serviceAndOperation.substr(0, slash));
    parsed.call.operation = operation_id(serviceAndOperation.substr(slash + 1));
    parsed.call.callerKeyHash = callerKeyHash(request);
    parsed.call.idempotencyKey = header(request, "idempotency-key");
    if (!parsed.call.idempotencyKey.empty() && !isValidId(parsed.call.idempotencyKey)) {
        return badRequest("idempotency-key: expected at most 128 letters, digits, '-', '_', '.', ':'");
    }
    parsed.call.bodyHash = sha256Hex(request.body);
    parsed.call.request =
        internalRequestId(parsed.call.callerKeyHash, parsed.callerRequestId, request.path + request.body);
    parsed.body = {parsed.call.operation.value(), parsed.call.idempotencyKey, request.body};
    return parsed;
}

} // namespace crocuslane
