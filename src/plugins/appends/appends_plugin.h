#pragma once

#include "kernel/plugin.h"
#include "logstream/append_budget.h"

namespace crocuslane {

/// Offers the append_budget, the rate limit of appends to the log, which all plug-ins of this VM share.
class appends_plugin : public plugin
{
public:
    std::string_view name() const override;
    void initialize(plugin_context &context) override;
    void handle(const event &event, action_list &actions) override;

private:
    append_budget m_budget;
};

} // namespace crocuslane
