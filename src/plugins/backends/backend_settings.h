#pragma once

#include <map>
#include <string>

namespace crocuslane {

/// Settings that the program offers to the plug-in backends.
struct backend_settings {
    /// Region of each availability zone.
    std::map<std::string, std::string> regions;
};

} // namespace crocuslane
