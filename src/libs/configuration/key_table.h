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

/// Value of a key after it was read by its rule.
using key_value = std::variant<bool, std::uint64_t, double, std::string, std::vector<std::string>>;

/// One key of an INI text: what it may hold, and what it means.
struct key_rule {
    std::string_view key = {};
    value_type type = value_type::text;
    std::string_view unit = {};
    /// As it would be written in the text; empty for none.
    std::string_view defaultValue = {};
    bool isRequired = false;
    /// Bounds of an integer or number, both included.
    double minimum = 0.0;
    double maximum = 0.0;
    /// Names of a choice, separated by ", ".
    std::string_view choices = {};
    /// Sort of section that an id or each id of a list names; empty when it isn't checked.
    std::string_view reference = {};
    std::string_view description = {};
};

/// Nothing when @p text is not allowed by @p rule. References are not resolved here.
std::optional<key_value> parseValue(const key_rule &rule, std::string_view text);
/// What the rule allows, for error messages and documentation.
std::string allowedText(const key_rule &rule);
/// Whether @p text can be the name of something: 1 to 64 lower-case letters, digits, '-', '_' and '.'.
bool isName(std::string_view text);
bool isAddress(std::string_view text);
std::string_view trimmed(std::string_view text);
/// Parts between commas, trimmed; empty for an empty text.
std::vector<std::string> splitList(std::string_view text);
std::string joinList(const std::vector<std::string> &parts);

} // namespace crocuslane
