#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace crocuslane {

std::string encodeBase64(std::string_view data);
/// Empty when @p text is not base64 with padding.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace crocuslane
