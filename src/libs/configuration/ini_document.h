#pragma once

#include "configuration/problem.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace crocuslane {

struct ini_entry {
    std::string key;
    std::string value;
    std::size_t line = 0;
};

struct ini_section {
    /// Text between the brackets, trimmed, with single spaces.
    std::string name;
    std::size_t line = 0;
    std::vector<ini_entry> entries;

    /// Null when absent.
    const ini_entry *find(std::string_view key) const;
    /// Line of the key, or of the section when the key is absent.
    std::size_t lineOf(std::string_view key) const;
};

/// Sections and keys of an INI text with their lines. Faulty lines are left out and reported.
struct ini_document {
    std::vector<ini_section> sections;
    std::vector<configuration_problem> problems;
};

/// Limit of a text; a publication and its envelope must fit in one frame between VMs (1 MB).
constexpr std::size_t maximumTextBytes = 512UL * 1024UL;

/// Reads any input; a text over maximumTextBytes gives one problem and no sections.
ini_document parseIni(std::string_view text);

} // namespace crocuslane
