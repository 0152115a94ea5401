#include "engine/prompt.h"

#include "enginemodel/engine_settings.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <charconv>

namespace crocuslane {

namespace {

constexpr std::size_t charactersPerToken = 4;
constexpr std::size_t charactersPerBlock = charactersPerToken * tokensPerCacheBlock;
constexpr std::string_view lengthDirective = "answer_tokens=";

std::optional<std::string> textOfMessage(const nlohmann::json &message)
{
    const auto content = message.find("content");
    if (content == message.end()) {
        return std::nullopt;
    }
    if (content->is_string()) {
        return content->get<std::string>();
    }
    std::string text;
    for (const nlohmann::json &part : *content) {
        text += part.value("text", "");
    }
    return text;
}

std::optional<std::uint32_t> readAnswerTokens(std::string_view text)
{
    const std::size_t position = text.rfind(lengthDirective);
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(position + lengthDirective.size());
    std::uint32_t tokens = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), tokens);
    return parsed.ec == std::errc() ? std::optional(tokens) : std::nullopt;
}

} // namespace

std::optional<prompt> readPrompt(const nlohmann::json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array()) {
        return std::nullopt;
    }
    prompt result;
    for (const nlohmann::json &message : *messages) {
        const std::optional<std::string> content = message.is_object() ? textOfMessage(message) : std::nullopt;
        if (!content) {
            return std::nullopt;
        }
        result.text += *content;
        result.text += '\n';
    }
    result.tokens = static_cast<std::uint32_t>(result.text.size() / charactersPerToken + 1);
    std::uint64_t hash = 0;
    for (std::size_t block = 0; (block + 1) * charactersPerBlock <= result.text.size(); ++block) {
        hash = XXH3_64bits_withSeed(result.text.data() + block * charactersPerBlock, charactersPerBlock, hash);
        result.prefixHashes.push_back(hash);
    }
    result.answerTokens = readAnswerTokens(result.text);
    return result;
}

} // namespace crocuslane
