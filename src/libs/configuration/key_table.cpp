#include "configuration/key_table.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

namespace crocuslane {

namespace {

constexpr std::size_t maximumNameLength = 64;
constexpr std::size_t sha256Digits = 64;
constexpr std::string_view whitespace = " \t\n\v\f\r";

template<typename number_type>
std::optional<number_type> parseNumber(std::string_view text)
{
    number_type value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

bool isWithin(const key_rule &rule, double value)
{
    return std::isfinite(value) && value >= rule.minimum && value <= rule.maximum;
}

bool isSha256(std::string_view text)
{
    return text.size() == sha256Digits && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

/// A name, or two names joined by '@' (version) or '/' (caller group).
bool isId(std::string_view text)
{
    const std::size_t separator = text.find_first_of("@/");
    if (separator == std::string_view::npos) {
        return isName(text);
    }
    return isName(text.substr(0, separator)) && isName(text.substr(separator + 1));
}

bool hasRepeats(const std::vector<std::string> &parts)
{
    return std::set<std::string_view>(parts.begin(), parts.end()).size() != parts.size();
}

std::optional<key_value> parseBoolean(std::string_view text)
{
    if (text == "true") {
        return key_value(true);
    }
    if (text == "false") {
        return key_value(false);
    }
    return std::nullopt;
}

std::optional<key_value> parseInteger(const key_rule &rule, std::string_view text)
{
    const auto value = parseNumber<std::uint64_t>(text);
    if (!value || !isWithin(rule, static_cast<double>(*value))) {
        return std::nullopt;
    }
    return key_value(*value);
}

std::optional<key_value> parseReal(const key_rule &rule, std::string_view text)
{
    const auto value = parseNumber<double>(text);
    if (!value || !isWithin(rule, *value)) {
        return std::nullopt;
    }
    return key_value(*value);
}

std::optional<key_value> parseText(bool isAllowed, std::string_view text)
{
    if (!isAllowed) {
        return std::nullopt;
    }
    return key_value(std::string(text));
}

std::optional<key_value> parseList(std::string_view text, bool (*isAllowed)(std::string_view))
{
    std::vector<std::string> parts = splitList(text);
    if (!std::all_of(parts.begin(), parts.end(), isAllowed) || hasRepeats(parts)) {
        return std::nullopt;
    }
    return key_value(std::move(parts));
}

std::string withUnit(const key_rule &rule, std::string text)
{
    if (!rule.unit.empty()) {
        text += fmt::format(" ({})", rule.unit);
    }
    return text;
}

bool isChoice(const key_rule &rule, std::string_view text)
{
    const std::vector<std::string> names = splitList(rule.choices);
    return std::find(names.begin(), names.end(), text) != names.end();
}

} // namespace

std::optional<key_value> parseValue(const key_rule &rule, std::string_view text)
{
    switch (rule.type) {
    case value_type::boolean:
        return parseBoolean(text);
    case value_type::integer:
        return parseInteger(rule, text);
    case value_type::number:
        return parseReal(rule, text);
    case value_type::choice:
        return parseText(isChoice(rule, text), text);
    case value_type::id:
        return parseText(isId(text), text);
    case value_type::id_list:
        return parseList(text, isId);
    case value_type::sha256:
        return parseText(isSha256(text), text);
    case value_type::sha256_list:
        return parseList(text, isSha256);
    case value_type::address:
        return parseText(isAddress(text), text);
    case value_type::text:
    case value_type::path:
        return parseText(!text.empty(), text);
    }
    return std::nullopt;
}

std::string allowedText(const key_rule &rule)
{
    const std::string_view referencedType = rule.reference.empty() ? std::string_view("name") : rule.reference;
    switch (rule.type) {
    case value_type::boolean:
        return "true, false";
    case value_type::integer:
        return withUnit(rule, fmt::format("integer from {:.0f} to {:.0f}", rule.minimum, rule.maximum));
    case value_type::number:
        return withUnit(rule, fmt::format("number from {} to {}", rule.minimum, rule.maximum));
    case value_type::choice:
        return std::string(rule.choices);
    case value_type::id:
        return fmt::format("one {}", referencedType);
    case value_type::id_list:
        return fmt::format("list of {}s separated by commas, each once", referencedType);
    case value_type::sha256:
        return "SHA-256 hash (64 digits 0-9a-f)";
    case value_type::sha256_list:
        return "list of SHA-256 hashes (64 digits 0-9a-f) separated by commas, each once";
    case value_type::address:
        return "IPv4 address and port, for example 192.0.2.1:8080";
    case value_type::text:
        return "non-empty text";
    case value_type::path:
        return "path of a file";
    }
    return {};
}

bool isName(std::string_view text)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz0123456789-_.";
    return !text.empty() && text.size() <= maximumNameLength
        && text.find_first_not_of(allowed) == std::string_view::npos;
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const std::string_view digits = text.substr(colon + 1);
    const auto port = parseNumber<std::uint16_t>(digits);
    if (!port || *port == 0) {
        return false;
    }
    const std::string host(text.substr(0, colon));
    in_addr address{};
    // inet_pton stops at an embedded NUL byte.
    return host.find('\0') == std::string::npos && inet_pton(AF_INET, host.c_str(), &address) == 1;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(whitespace);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(whitespace) - begin + 1);
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> parts;
    if (trimmed(text).empty()) {
        return parts;
    }
    while (true) {
        const std::size_t comma = text.find(',');
        parts.emplace_back(trimmed(text.substr(0, comma)));
        if (comma == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(comma + 1);
    }
}

std::string joinList(const std::vector<std::string> &parts)
{
    return fmt::format("{}", fmt::join(parts, ", "));
}

} // namespace crocuslane
