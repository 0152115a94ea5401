#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace crocuslane {

/// Length in bytes of the UTF-8 character that begins at @p position; 0 when the bytes there are not UTF-8.
std::size_t utf8CharacterSize(std::string_view text, std::size_t position);
/// Whether text from outside is UTF-8 without control characters.
bool isPlainText(std::string_view text);
/// Text from outside for a log line: control characters and bytes that are not UTF-8 as "\xhh", truncated to about
/// @p maximumBytes.
std::string escapedText(std::string_view text, std::size_t maximumBytes);

} // namespace crocuslane
