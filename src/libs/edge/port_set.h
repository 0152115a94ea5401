#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace crocuslane {

/// Options of the daemon's command line that a registered set of ports needs.
struct port_set_options {
    /// Path; empty when the command line has none.
    std::string settingsFile;
    /// Whether to check the settings and exit.
    bool isCheckOnly = false;
};

/// Runs the daemon with a set of ports and returns its exit status.
using port_set_main = int (*)(const port_set_options &options);

/// Registers a set of ports: the code that connects the daemon to the callers, operators and backend servers of one
/// environment. Each set has a static registrar in one of its source files.
class port_set_registrar
{
public:
    port_set_registrar(std::string_view name, port_set_main run);
};

/// Null when no set has this name.
port_set_main findPortSet(std::string_view name);
std::vector<std::string> portSetNames();

} // namespace crocuslane
