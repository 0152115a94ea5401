#include "plugins/routes/route_table.h"

namespace crocuslane {

route_table::route_table(std::shared_ptr<const forward_configuration> configuration)
    : m_configuration(std::move(configuration))
{
    for (const forward_route &route : m_configuration->routes) {
        m_routes[route.host].emplace(route.pathPrefix, &route);
    }
    for (const forward_organisation &organisation : m_configuration->organisations) {
        for (const std::string &key : organisation.keys) {
            m_organisations.emplace(key, &organisation);
        }
    }
}

std::variant<route_match, refusal_reason>
route_table::match(const std::string &host, const std::string &path, const std::string &callerKey) const
{
    route_match found;
    found.configuration = m_configuration;
    found.route = findRoute(host, path);
    if (found.route == nullptr) {
        return refusal_reason::no_route;
    }
    const auto organisation = m_organisations.find(callerKey);
    if (organisation != m_organisations.end()) {
        found.organisation = organisation->second;
    } else if (m_configuration->needsKeys && !found.route->isAnonymous) {
        return refusal_reason::unknown_key;
    }
    return found;
}

const forward_route *route_table::findRoute(const std::string &host, const std::string &path) const
{
    const auto routes = m_routes.find(host);
    if (routes == m_routes.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so that the candidates are the path's own slashes, longest first. A look-up for each
    // of them costs the depth of the path, however many routes there are.
    for (std::size_t end = path.rfind('/'); end != std::string::npos; end = end == 0 ? end : path.rfind('/', end - 1)) {
        const auto route = routes->second.find(path.substr(0, end + 1));
        if (route != routes->second.end()) {
            return route->second;
        }
        if (end == 0) {
            break;
        }
    }
    return nullptr;
}

const std::shared_ptr<const forward_configuration> &route_table::configuration() const
{
    return m_configuration;
}

} // namespace crocuslane
