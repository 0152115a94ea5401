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
    /// Text between the brackets, trimmed; each run of spaces and tabs is one space.
    std::string name;
    std::size_t line = 0;
    std::vector<ini_entry> entries;

    /// Null when the section has no such key.
    const ini_entry *find(std::string_view key) const;
    /// Line of the key, or of the section header when the key is absent.
    std::size_t lineOf(std::string_view key) const;
};

/// Sections and keys of an INI text with their line numbers. Faulty lines are skipped and reported in @c problems.
struct ini_document {
    std::vector<ini_section> sections;
    std::vector<configuration_problem> problems;
};

/// Maximum size of a text: a published text with its envelope must fit in one frame between VMs (1 MiB).
constexpr std::size_t maximumTextBytes = 512UL * 1024UL;

/// Accepts any bytes. A text larger than maximumTextBytes gives one problem and no sections.
ini_document parseIni(std::string_view text);

} // namespace crocuslane
