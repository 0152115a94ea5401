#include "plugins/appends/appends_plugin.h"

namespace crocuslane {

namespace {

const plugin_registrar autoRegistrar("appends",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<appends_plugin>(); });

} // namespace

std::string_view appends_plugin::name() const
{
    return "appends";
}

void appends_plugin::initialize(plugin_context &context)
{
    context.services.offer<append_budget>(m_budget);
}

void appends_plugin::handle(const event & /*event*/, action_list & /*actions*/)
{
}

} // namespace crocuslane
