#include "kernel/plugin.h"

#include <map>

namespace crocuslane {

namespace {

// Function-local, because registrars in other files may run before the globals of this file are initialized.
std::map<std::string, plugin_factory, std::less<>> &factories()
{
    static std::map<std::string, plugin_factory, std::less<>> registered;
    return registered;
}

} // namespace

std::vector<std::string_view> plugin::dependencies() const
{
    return {};
}

void plugin::start(action_list & /*actions*/)
{
}

steady_time plugin::nextDeadline() const
{
    return steady_time::max();
}

bool plugin::isIdle() const
{
    return true;
}

void plugin::describe(nlohmann::json & /*status*/) const
{
}

plugin_registrar::plugin_registrar(std::string_view name, plugin_factory factory)
{
    factories()[std::string(name)] = factory;
}

std::unique_ptr<plugin> makePlugin(std::string_view name)
{
    const auto found = factories().find(name);
    return found == factories().end() ? nullptr : found->second();
}

} // namespace crocuslane
