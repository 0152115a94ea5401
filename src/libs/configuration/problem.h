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
    /// Line in the text, from 1; 0 when the fault belongs to no line.
    std::size_t line = 0;
    std::string section;
    /// Empty when the whole section is meant.
    std::string key;
    std::string found;
    std::string allowed;
    /// Name of the file, or "command line"; empty for the text that was passed to the check.
    std::string source = {};
};

/// Error object of this library's results; holds all faults of the text, in order of their lines.
struct configuration_error {
    std::vector<configuration_problem> problems;
};

std::string_view toName(problem_code code);
/// "file:line: [section] key: found X; allowed: Y". @p file is used when the problem names no source.
std::string toText(const configuration_problem &problem, std::string_view file);
/// Orders by line, faults without a line last.
void sortByLine(std::vector<configuration_problem> &problems);
/// @p text with control characters replaced, cut to a length that fits an error message.
std::string printable(std::string_view text);

} // namespace crocuslane
