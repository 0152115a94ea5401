#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocuslane {

/// What the engine makes of the messages of a request.
struct prompt {
    std::string text;
    std::uint32_t tokens = 0;
    /// Same hashes as those of the entry VMs: one per full block, each seeded with the one before.
    std::vector<std::uint64_t> prefixHashes;
    /// Length of the answer set by "answer_tokens=N" in the text.
    std::optional<std::uint32_t> answerTokens;
};

/// Nothing when the messages can't be read.
std::optional<prompt> readPrompt(const nlohmann::json &body);

} // namespace crocuslane
