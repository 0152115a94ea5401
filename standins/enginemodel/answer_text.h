#pragma once

#include "base/text_id.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace crocuslane {

/// First character of each token of a wrong answer, by which tests and the rating stand-in recognise it.
inline constexpr char wrongTokenPrefix = '#';

/// Token @p index of the answer, with a trailing space. It depends on the arguments only, so that a stream resumed on
/// another runner of the same version continues with the same text.
std::string answerToken(const version_id &version, std::uint64_t contentHash, std::uint32_t index, bool isWrong);

/// Returns a value distributed uniformly in [0, 1) that depends on the arguments only.
double uniformFromHash(std::uint64_t first, std::uint64_t second);
std::uint64_t hashText(std::string_view text);

} // namespace crocuslane
