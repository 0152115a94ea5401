#pragma once

#include "kernel/action.h"
#include "kernel/forward_types.h"

#include <memory>
#include <variant>

namespace crocuslane {

/// Route and organisation of one request, with shared ownership of the configuration that they belong to.
struct route_match {
    std::shared_ptr<const forward_configuration> configuration;
    const forward_route *route = nullptr;
    /// Null for a request without the key of an organisation.
    const forward_organisation *organisation = nullptr;

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
    /// Null until the first configuration is read.
    virtual std::shared_ptr<const forward_configuration> configuration() const = 0;
};

} // namespace crocuslane
