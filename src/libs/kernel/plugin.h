#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "kernel/action.h"
#include "kernel/event.h"
#include "kernel/service_registry.h"
#include "kernel/timeline.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace crocuslane {

/// Secrets that all entry VMs of a deployment share.
struct shared_secrets {
    /// Signs session tokens.
    std::string sessionKey;
};

/// Dependencies that the kernel gives to a plug-in. All references outlive the plug-in.
struct plugin_context {
    const clock &time;
    random_source &random;
    const node_identity &node;
    const shared_secrets &secrets;
    service_registry &services;
    timeline_recorder &timeline;
    /// Queues an event that all plug-ins handle after the current one, in the same call of kernel::handle().
    std::function<void(event)> post;
};

/// One feature of the decision code. A plug-in does no input or output and reads no clock but that of its context, so
/// that a run can be repeated exactly.
class plugin
{
public:
    virtual ~plugin() = default;

    /// Name under which the plug-in is registered; the same as that of its folder.
    virtual std::string_view name() const = 0;
    /// Names of the plug-ins that must be initialized, and must handle each event, before this one.
    virtual std::vector<std::string_view> dependencies() const;
    /// Offers the plug-in's services and looks up those of its dependencies.
    virtual void initialize(plugin_context &context) = 0;
    /// Called once, after all plug-ins are initialized.
    virtual void start(action_list &actions);
    virtual void handle(const event &event, action_list &actions) = 0;
    /// When this plug-in needs the next timer_expired event; steady_time::max() for never.
    virtual steady_time nextDeadline() const;
    /// False while the plug-in has work that a planned stop must wait for.
    virtual bool isIdle() const;
    /// Adds the plug-in's status for operators.
    virtual void describe(nlohmann::json &status) const;
};

using plugin_factory = std::unique_ptr<plugin> (*)();

/// Registers a plug-in class. Create a static object of it in the source file of the plug-in.
class plugin_registrar
{
public:
    plugin_registrar(std::string_view name, plugin_factory factory);
};

/// Null when no plug-in has this name.
std::unique_ptr<plugin> makePlugin(std::string_view name);

} // namespace crocuslane
