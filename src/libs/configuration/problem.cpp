#include "configuration/problem.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace crocuslane {

namespace {

constexpr std::size_t maximumPrintedCharacters = 120;

constexpr auto problemCodeNames = makeNameTable<problem_code>({
    {problem_code::syntax, "syntax"},
    {problem_code::duplicate, "duplicate"},
    {problem_code::unknown_section, "unknown_section"},
    {problem_code::unknown_key, "unknown_key"},
    {problem_code::missing_key, "missing_key"},
    {problem_code::bad_value, "bad_value"},
    {problem_code::unknown_reference, "unknown_reference"},
    {problem_code::inconsistent, "inconsistent"},
});

bool isPrintable(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char lastPrintable = 0x7e;
    return byte >= firstPrintable && byte <= lastPrintable;
}

std::size_t sortPosition(const configuration_problem &problem)
{
    return problem.line == 0 ? std::numeric_limits<std::size_t>::max() : problem.line;
}

} // namespace

std::string_view toName(problem_code code)
{
    return problemCodeNames.name(code);
}

std::string toText(const configuration_problem &problem, std::string_view file)
{
    std::string text(problem.source.empty() ? file : problem.source);
    if (problem.line != 0) {
        text += fmt::format(":{}", problem.line);
    }
    text += ": ";
    if (!problem.section.empty()) {
        text += fmt::format("[{}] ", problem.section);
    }
    if (!problem.key.empty()) {
        text += fmt::format("{}: ", problem.key);
    }
    return text + fmt::format("found {}; allowed: {}", problem.found, problem.allowed);
}

void sortByLine(std::vector<configuration_problem> &problems)
{
    std::stable_sort(problems.begin(), problems.end(), [](const auto &left, const auto &right) {
        return sortPosition(left) < sortPosition(right);
    });
}

std::string printable(std::string_view text)
{
    std::string result(text.substr(0, maximumPrintedCharacters));
    // Bytes outside ASCII are replaced too: shortening within a UTF-8 sequence would make the JSON output invalid.
    std::replace_if(
        result.begin(), result.end(), [](char character) { return !isPrintable(character); }, '?');
    if (text.size() > maximumPrintedCharacters) {
        result += "...";
    }
    return result;
}

} // namespace crocuslane
