#pragma once

#include "services/route_source.h"

#include <map>
#include <unordered_map>

namespace crocuslane {

/// Routes and keys of one configuration, indexed.
class route_table
{
public:
    explicit route_table(std::shared_ptr<const forward_configuration> configuration);

    std::variant<route_match, refusal_reason>
    match(const std::string &host, const std::string &path, const std::string &callerKey) const;
    const std::shared_ptr<const forward_configuration> &configuration() const;

private:
    const forward_route *findRoute(const std::string &host, const std::string &path) const;

    std::shared_ptr<const forward_configuration> m_configuration;
    /// By host, then by path prefix.
    std::unordered_map<std::string, std::map<std::string, const forward_route *>> m_routes;
    std::unordered_map<std::string, const forward_organisation *> m_organisations;
};

} // namespace crocuslane
