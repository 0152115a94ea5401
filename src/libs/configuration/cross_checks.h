#pragma once

#include "configuration/configuration.h"
#include "configuration/ini_document.h"

#include <map>

namespace crocuslane {

/// Sections of a text by name, such as "version small@1".
using section_index = std::map<std::string, const ini_section *, std::less<>>;

/// Finds problems that involve more than one key or section. Skips unresolved references, which are reported when the
/// key is read.
std::vector<configuration_problem> crossCheck(const configuration &configuration, const section_index &sections);

} // namespace crocuslane
