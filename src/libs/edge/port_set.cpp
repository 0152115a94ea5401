#include "edge/port_set.h"

#include <map>

namespace crocuslane {

namespace {

// A function-local object, because registrars in other files run before the globals of this one may be initialized.
std::map<std::string, port_set_main, std::less<>> &runners()
{
    static std::map<std::string, port_set_main, std::less<>> registered;
    return registered;
}

} // namespace

port_set_registrar::port_set_registrar(std::string_view name, port_set_main runner)
{
    runners()[std::string(name)] = runner;
}

port_set_main findPortSet(std::string_view name)
{
    const auto found = runners().find(name);
    return found == runners().end() ? nullptr : found->second;
}

std::vector<std::string> portSetNames()
{
    std::vector<std::string> names;
    for (const auto &[name, runner] : runners()) {
        names.push_back(name);
    }
    return names;
}

} // namespace crocuslane
