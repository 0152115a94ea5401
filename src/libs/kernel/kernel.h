#pragma once

#include "kernel/plugin.h"

#include <deque>
#include <string>

namespace crocuslane {

/// Runs the decision code of one entry VM: it hands each event to all plug-ins and returns their actions.
class kernel
{
public:
    /// Dependencies of the kernel; all references must outlive it.
    struct environment {
        const clock &time;
        random_source &random;
        node_identity node;
        shared_secrets secrets;
        timeline_recorder &timeline;
    };

    explicit kernel(environment environment);
    ~kernel();
    kernel(const kernel &) = delete;
    kernel &operator=(const kernel &) = delete;

    /// Call before start() only. Tests and measurements may add plug-ins of their own and leave some out.
    void add(std::unique_ptr<plugin> plugin);
    /// Adds the named registered plug-ins and all that they depend on. Throws std::logic_error for an unknown name.
    void addRegistered(const std::vector<std::string_view> &names);

    /// Sorts the plug-ins by their dependencies and starts them. Throws std::logic_error for a missing or circular
    /// dependency, which is a programming error.
    action_list start();
    /// Handles an event and those that plug-ins post meanwhile.
    action_list handle(event event);
    /// When the next timer_expired is due; steady_time::max() for never.
    steady_time nextDeadline() const;
    /// True when no plug-in has work that a planned stop must wait for.
    bool isIdle() const;

    service_registry &services();
    /// Status of all plug-ins for operators, by plug-in name.
    nlohmann::json describe() const;

private:
    void orderPlugins();

    environment m_environment;
    service_registry m_services;
    plugin_context m_context;
    std::vector<std::unique_ptr<plugin>> m_plugins;
    std::deque<event> m_posted;
};

} // namespace crocuslane
