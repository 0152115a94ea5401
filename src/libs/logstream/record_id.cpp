#include "logstream/record_id.h"

#include <charconv>

namespace crocuslane {

namespace {

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::string record_id::toText() const
{
    return writer + "/" + std::to_string(incarnation) + "/" + std::to_string(number);
}

std::optional<record_id> record_id::fromText(std::string_view text)
{
    const std::size_t last = text.rfind('/');
    if (last == std::string_view::npos || last == 0) {
        return std::nullopt;
    }
    const std::size_t middle = text.rfind('/', last - 1);
    if (middle == std::string_view::npos) {
        return std::nullopt;
    }
    const auto incarnation = parseNumber(text.substr(middle + 1, last - middle - 1));
    const auto number = parseNumber(text.substr(last + 1));
    if (!incarnation || !number) {
        return std::nullopt;
    }
    return record_id{std::string(text.substr(0, middle)), *incarnation, *number};
}

} // namespace crocuslane
