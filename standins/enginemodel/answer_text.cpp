#include "enginemodel/answer_text.h"

#include <xxhash.h>

#include <array>

namespace crocuslane {

namespace {

constexpr std::array<std::string_view, 32> words{
    "the",   "pan",  "needs", "one",   "more",  "coat",  "of",     "oil",   "before", "it",    "goes",
    "back",  "to",   "heat",  "and",   "then",  "cools", "slowly", "plant", "grass",  "where", "sand",
    "moves", "with", "wind",  "water", "twice", "a",     "week",   "until", "roots",  "hold"};

std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second)
{
    const std::array<std::uint64_t, 2> values{first, second};
    return XXH3_64bits(values.data(), sizeof(values));
}

} // namespace

std::uint64_t hashText(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

double uniformFromHash(std::uint64_t first, std::uint64_t second)
{
    // The mantissa of a double has 53 bits.
    return static_cast<double>(combineHashes(first, second) >> 11U) * 0x1.0p-53;
}

std::string answerToken(const version_id &version, std::uint64_t contentHash, std::uint32_t index, bool isWrong)
{
    const std::uint64_t answerHash = combineHashes(contentHash, hashText(version.value()));
    const std::string_view word = words[combineHashes(answerHash, index) % words.size()];
    std::string token;
    if (isWrong) {
        token += wrongTokenPrefix;
    }
    token += word;
    token += ' ';
    return token;
}

} // namespace crocuslane
