#pragma once

#include "base/text_id.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace crocuslane {

/// Begins each token of a wrong answer, so that a test or the rating stand-in can tell.
inline constexpr char wrongTokenMark = '#';

/// Token @p index of the answer. It depends on nothing else, so that a stream resumed on another runner of the version
/// continues exactly.
std::string answerToken(const version_id &version, std::uint64_t contentHash, std::uint32_t index, bool isWrong);

/// Uniform in [0, 1), determined by the arguments.
double unitFromHash(std::uint64_t first, std::uint64_t second);
std::uint64_t hashText(std::string_view text);

} // namespace crocuslane
