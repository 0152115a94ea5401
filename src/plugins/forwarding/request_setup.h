#pragma once

#include "base/random_source.h"
#include "plugins/forwarding/active_request.h"

#include <string>

namespace crocuslane {

/// Null for a plain service.
const engine_description *findEngine(const forward_configuration &configuration, const service_id &service);
/// Service of a request of @p route, by the weights of the route. All requests of a session go to the same service.
service_id chooseService(const forward_route &route, const std::string &session, random_source &random);
/// Sets the model that the router chose, and salts the ids of the prompt parts with it.
void setModel(active_request &active, std::string model);

} // namespace crocuslane
