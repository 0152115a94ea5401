#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace crocuslane {

/// Command line of a daemon that runs with another set of ports than its own.
struct port_set_options {
    /// Path; empty when none was given.
    std::string settingsFile;
    /// Checks the settings and ends.
    bool isCheckOnly = false;
};

/// Runs the daemon and returns its exit status.
using port_set_main = int (*)(const port_set_options &options);

/// Registers a set of ports, by which the daemon runs in another environment, from a static object in its source file.
class port_set_registrar
{
public:
    port_set_registrar(std::string_view name, port_set_main runner);
};

/// Null when no set has this name.
port_set_main findPortSet(std::string_view name);
std::vector<std::string> portSetNames();

} // namespace crocuslane
