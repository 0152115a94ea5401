#include "kernel/kernel.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace crocuslane {

kernel::kernel(environment environment)
    : m_environment(std::move(environment))
    , m_context{m_environment.time,
                m_environment.random,
                m_environment.node,
                m_environment.secrets,
                m_services,
                m_environment.timeline,
                [this](event posted) { m_posted.push_back(std::move(posted)); }}
{
}

kernel::~kernel() = default;

void kernel::add(std::unique_ptr<plugin> plugin)
{
    m_plugins.push_back(std::move(plugin));
}

void kernel::addRegistered(const std::vector<std::string_view> &names)
{
    for (const std::string_view name : names) {
        const bool isPresent = std::any_of(
            m_plugins.begin(), m_plugins.end(), [name](const auto &present) { return present->name() == name; });
        if (isPresent) {
            continue;
        }
        std::unique_ptr<plugin> created = makePlugin(name);
        if (!created) {
            throw std::logic_error("no plug-in is registered as " + std::string(name));
        }
        const std::vector<std::string_view> needed = created->dependencies();
        add(std::move(created));
        addRegistered(needed);
    }
}

void kernel::orderPlugins()
{
    std::vector<std::unique_ptr<plugin>> ordered;
    std::set<std::string_view> done;
    while (!m_plugins.empty()) {
        const auto ready = std::find_if(m_plugins.begin(), m_plugins.end(), [&done](const auto &candidate) {
            const std::vector<std::string_view> needed = candidate->dependencies();
            return std::all_of(
                needed.begin(), needed.end(), [&done](std::string_view name) { return done.contains(name); });
        });
        if (ready == m_plugins.end()) {
            throw std::logic_error("missing or circular dependency of plug-in "
                                   + std::string(m_plugins.front()->name()));
        }
        done.insert((*ready)->name());
        ordered.push_back(std::move(*ready));
        m_plugins.erase(ready);
    }
    m_plugins = std::move(ordered);
}

action_list kernel::start()
{
    orderPlugins();
    for (const auto &plugin : m_plugins) {
        plugin->initialize(m_context);
    }
    action_list actions;
    for (const auto &plugin : m_plugins) {
        plugin->start(actions);
    }
    return actions;
}

action_list kernel::handle(event first)
{
    action_list actions;
    m_posted.push_back(std::move(first));
    while (!m_posted.empty()) {
        const event current = std::move(m_posted.front());
        m_posted.pop_front();
        for (const auto &plugin : m_plugins) {
            plugin->handle(current, actions);
        }
    }
    return actions;
}

steady_time kernel::nextDeadline() const
{
    steady_time earliest = steady_time::max();
    for (const auto &plugin : m_plugins) {
        earliest = std::min(earliest, plugin->nextDeadline());
    }
    return earliest;
}

bool kernel::isIdle() const
{
    return std::all_of(m_plugins.begin(), m_plugins.end(), [](const auto &plugin) { return plugin->isIdle(); });
}

service_registry &kernel::services()
{
    return m_services;
}

nlohmann::json kernel::describe() const
{
    nlohmann::json status = nlohmann::json::object();
    for (const auto &plugin : m_plugins) {
        nlohmann::json section = nlohmann::json::object();
        plugin->describe(section);
        if (!section.empty()) {
            status[std::string(plugin->name())] = std::move(section);
        }
    }
    return status;
}

} // namespace crocuslane
