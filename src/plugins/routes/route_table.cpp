#include "plugins/routes/route_table.h"

#include <algorithm>
#include <iterator>

namespace crocuslane {

namespace {

std::set<std::string> shared(const std::set<std::string> &left, const std::set<std::string> &right)
{
    std::set<std::string> both;
    std::set_intersection(left.begin(), left.end(), right.begin(), right.end(), std::inserter(both, both.end()));
    return both;
}

std::optional<std::set<std::string>> allowedRegions(const route_match &match)
{
    static const std::set<std::string> none;
    const std::set<std::string> &ofRoute = match.route->homeRegions;
    const std::set<std::string> &ofOrganisation =
        match.organisation == nullptr ? none : match.organisation->homeRegions;
    if (ofRoute.empty() && ofOrganisation.empty()) {
        return std::nullopt;
    }
    if (ofRoute.empty() || ofOrganisation.empty()) {
        return ofRoute.empty() ? ofOrganisation : ofRoute;
    }
    return shared(ofRoute, ofOrganisation);
}

} // namespace

route_table::route_table(std::shared_ptr<const forward_configuration> configuration)
    : m_configuration(std::move(configuration))
{
    for (const forward_route &route : m_configuration->routes) {
        m_routesByHost[route.host].emplace(route.pathPrefix, &route);
    }
    for (const forward_organisation &organisation : m_configuration->organisations) {
        for (const std::string &key : organisation.keys) {
            m_organisationsByKey.emplace(key, &organisation);
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
    const auto organisation = m_organisationsByKey.find(callerKey);
    if (organisation != m_organisationsByKey.end()) {
        found.organisation = organisation->second;
    } else if (m_configuration->needsKeys && !found.route->isAnonymous) {
        return refusal_reason::unknown_key;
    }
    found.homeRegions = allowedRegions(found);
    return found;
}

const forward_route *route_table::findRoute(const std::string &host, const std::string &path) const
{
    const auto routes = m_routesByHost.find(host);
    if (routes == m_routesByHost.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so that the candidates are the parts of the path up to each slash, longest first. The
    // number of look-ups depends on the depth of the path only, not on the number of routes.
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

std::set<std::string> route_table::homeRegionsOf(const std::string &host) const
{
    const auto routes = m_routesByHost.find(host);
    std::set<std::string> ofAll;
    std::set<std::string> ofAny;
    if (routes == m_routesByHost.end()) {
        return ofAny;
    }
    for (const auto &[prefix, route] : routes->second) {
        if (!route->homeRegions.empty()) {
            ofAll = ofAny.empty() ? route->homeRegions : shared(ofAll, route->homeRegions);
            ofAny.insert(route->homeRegions.begin(), route->homeRegions.end());
        }
    }
    return ofAll.empty() ? ofAny : ofAll;
}

const std::shared_ptr<const forward_configuration> &route_table::configuration() const
{
    return m_configuration;
}

} // namespace crocuslane
