#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace crocuslane {

enum class value_type {
    boolean,
    integer,
    number,
    choice,
    id,
    id_list,
    sha256,
    sha256_list,
    /// "address:port" with an IPv4 address.
    address,
    text,
    path,
};

/// Parsed value of a key.
using key_value = std::variant<bool, std::uint64_t, double, std::string, std::vector<std::string>>;

/// Describes one key of an INI text: its type, allowed values, default and meaning.
struct key_rule {
    std::string_view key = {};
    value_type type = value_type::text;
    std::string_view unit = {};
    /// Default in the notation of the text; empty when there is none.
    std::string_view defaultValue = {};
    bool isRequired = false;
    /// Inclusive bounds of an integer or number.
    double minimum = 0.0;
    double maximum = 0.0;
    /// Allowed names of a choice, separated by ", ".
    std::string_view choices = {};
    /// Type of section that the id, or each id of the list, must refer to; empty when references aren't checked.
    std::string_view reference = {};
    std::string_view description = {};
};

/// Empty when @p rule doesn't allow @p text. Doesn't check references.
std::optional<key_value> parseValue(const key_rule &rule, std::string_view text);
/// Describes the values that @p rule allows, for error messages and documentation.
std::string allowedText(const key_rule &rule);
/// Whether @p text is a valid name: 1 to 64 lower-case letters, digits, '-', '_' and '.'.
bool isName(std::string_view text);
/// Whether @p text is an IPv4 address and a port other than 0, "address:port".
bool isAddress(std::string_view text);
/// @p text without leading and trailing whitespace.
std::string_view trimmed(std::string_view text);
/// Trimmed parts between commas; no parts for a blank text.
std::vector<std::string> splitList(std::string_view text);
/// Joins @p parts with ", ".
std::string joinList(const std::vector<std::string> &parts);

} // namespace crocuslane
