#include "edge/port_set.h"

#include <map>

namespace crocuslane {

namespace {

// Function-local, because registrars in other files may run before the globals of this file are initialized.
std::map<std::string, port_set_main, std::less<>> &registeredPortSets()
{
    static std::map<std::string, port_set_main, std::less<>> registered;
    return registered;
}

} // namespace

port_set_registrar::port_set_registrar(std::string_view name, port_set_main run)
{
    registeredPortSets()[std::string(name)] = run;
}

port_set_main findPortSet(std::string_view name)
{
    const auto found = registeredPortSets().find(name);
    return found == registeredPortSets().end() ? nullptr : found->second;
}

std::vector<std::string> portSetNames()
{
    std::vector<std::string> names;
    for (const auto &[name, run] : registeredPortSets()) {
        names.push_back(name);
    }
    return names;
}

} // namespace crocuslane
