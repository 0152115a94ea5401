#pragma once

#include "services/route_source.h"

#include <map>
#include <unordered_map>

namespace crocuslane {

/// Index of the routes and keys of one configuration.
class route_table
{
public:
    explicit route_table(std::shared_ptr<const forward_configuration> configuration);

    /// Finds the route with the longest matching path prefix; refuses a request without a known key unless the route is
    /// anonymous or the configuration needs no keys.
    std::variant<route_match, refusal_reason>
    match(const std::string &host, const std::string &path, const std::string &callerKey) const;
    /// See route_source::homeRegionsOf().
    std::set<std::string> homeRegionsOf(const std::string &host) const;
    const std::shared_ptr<const forward_configuration> &configuration() const;

private:
    const forward_route *findRoute(const std::string &host, const std::string &path) const;

    std::shared_ptr<const forward_configuration> m_configuration;
    /// By host, then by path prefix.
    std::unordered_map<std::string, std::map<std::string, const forward_route *>> m_routesByHost;
    std::unordered_map<std::string, const forward_organisation *> m_organisationsByKey;
};

} // namespace crocuslane
