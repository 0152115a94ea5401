#pragma once

#include <stdexcept>
#include <typeindex>
#include <unordered_map>

namespace crocuslane {

/// Holds the abstract interfaces that plug-ins offer to each other, one implementation per interface.
class service_registry
{
public:
    template<typename interface>
    void offer(interface &service)
    {
        m_services[std::type_index(typeid(interface))] = &service;
    }

    /// Throws std::logic_error when no plug-in offers the interface: a missing dependency is a programming error.
    template<typename interface>
    interface &find() const
    {
        interface *service = tryFind<interface>();
        if (!service) {
            throw std::logic_error(std::string("no plug-in offers ") + typeid(interface).name());
        }
        return *service;
    }

    /// Null when no plug-in offers the interface.
    template<typename interface>
    interface *tryFind() const
    {
        const auto found = m_services.find(std::type_index(typeid(interface)));
        return found == m_services.end() ? nullptr : static_cast<interface *>(found->second);
    }

private:
    std::unordered_map<std::type_index, void *> m_services;
};

} // namespace crocuslane
