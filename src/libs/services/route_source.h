#pragma once

#include "kernel/action.h"
#include "kernel/forward_types.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace crocuslane {

/// Route and organisation of one request, with shared ownership of the configuration that they belong to.
struct route_match {
    std::shared_ptr<const forward_configuration> configuration;
    const forward_route *route = nullptr;
    /// Null for a request without the key of an organisation.
    const forward_organisation *organisation = nullptr;
    /// Regions whose runners may serve the request: those that both the route and the organisation allow. Empty without
    /// a restriction; an empty set allows none.
    std::optional<std::set<std::string>> homeRegions = {};

    unsigned priority() const
    {
        return organisation != nullptr && organisation->priority ? *organisation->priority : route->priority;
    }
};

/// The configuration in force for forwarded requests. Offered by the plug-in routes.
class route_source
{
public:
    virtual ~route_source() = default;
    virtual std::variant<route_match, refusal_reason>
    match(const std::string &host, const std::string &path, const std::string &callerKey) const = 0;
    /// Regions that all routes to @p host with home regions share, or those of any of them where they share none. Empty
    /// when no route to the host has home regions.
    virtual std::set<std::string> homeRegionsOf(const std::string & /*host*/) const
    {
        return {};
    }
    /// Null until the first configuration is read.
    virtual std::shared_ptr<const forward_configuration> configuration() const = 0;
};

} // namespace crocuslane
