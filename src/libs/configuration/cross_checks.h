#pragma once

#include "configuration/configuration.h"
#include "configuration/ini_document.h"

#include <map>

namespace crocuslane {

/// Sections of a text by their name, as "version small@1".
using section_index = std::map<std::string, const ini_section *, std::less<>>;

/// Problems that involve more than one key or section. References that lead nowhere are skipped: they are reported
/// where the key is read.
std::vector<configuration_problem> crossCheck(const configuration &configuration, const section_index &sections);

} // namespace crocuslane
