#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocuslane {

/// The messages of a request as seen by the engine.
struct prompt {
    std::string text;
    std::uint32_t tokens = 0;
    /// The same hashes as computed by the entry VMs: one per full block, each seeded with the hash of the block before.
    std::vector<std::uint64_t> prefixHashes;
    /// Length of the answer in tokens, if set by "answer_tokens=N" in the text.
    std::optional<std::uint32_t> answerTokens;
};

/// Returns nothing when @p body has no valid messages.
std::optional<prompt> readPrompt(const nlohmann::json &body);

} // namespace crocuslane
