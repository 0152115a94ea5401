#pragma once

#include <string>
#include <string_view>

namespace crocuslane {

/// SHA-256 of @p data as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);
/// HMAC-SHA-256 of @p data as 64 lower-case hexadecimal digits.
std::string hmacSha256Hex(std::string_view key, std::string_view data);
/// Compares in a time that depends only on the lengths, so that the time reveals nothing about a secret.
bool equalConstantTime(std::string_view left, std::string_view right);

} // namespace crocuslane
