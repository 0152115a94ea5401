#pragma once

#include "base/name_table.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace crocuslane {

enum class problem_code {
    syntax,
    duplicate,
    unknown_section,
    unknown_key,
    missing_key,
    bad_value,
    unknown_reference,
    inconsistent,
};

/// One fault of a configuration text or of a settings file.
struct configuration_problem {
    problem_code code = problem_code::syntax;
    /// Line number from 1; 0 when the fault has no line.
    std::size_t line = 0;
    std::string section;
    /// Empty when the fault concerns the whole section.
    std::string key;
    std::string found;
    std::string allowed;
    /// File name or "command line"; empty when the fault is in the checked text itself.
    std::string source = {};
};

/// Error object of this library's results: all faults of the text, ordered by line.
struct configuration_error {
    std::vector<configuration_problem> problems;
};

std::string_view toName(problem_code code);
/// "file:line: [section] key: found X; allowed: Y". @p file is used when the problem has no source.
std::string toText(const configuration_problem &problem, std::string_view file);
/// Stable sort by line; faults without a line come last.
void sortByLine(std::vector<configuration_problem> &problems);
/// @p text for an error message: bytes outside printable ASCII are replaced by '?', and long texts are shortened.
std::string printable(std::string_view text);

} // namespace crocuslane
