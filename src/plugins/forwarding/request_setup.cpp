#include "plugins/forwarding/request_setup.h"

#include <functional>
#include <utility>

namespace crocuslane {

const engine_description *findEngine(const forward_configuration &configuration, const service_id &service)
{
    for (const forward_service &each : configuration.services) {
        if (each.id == service) {
            return each.engine ? &*each.engine : nullptr;
        }
    }
    return nullptr;
}

service_id chooseService(const forward_route &route, const std::string &session, random_source &random)
{
    double total = 0.0;
    for (const service_share &share : route.services) {
        total += share.weight;
    }
    // All requests of a session go to the same service: its hash takes the place of the random number.
    constexpr double hashRange = 4294967296.0;
    const double position = session.empty()
        ? random.unit()
        : static_cast<double>(std::hash<std::string>{}(session)&0xffffffffU) / hashRange;
    double remaining = position * total;
    for (const service_share &share : route.services) {
        remaining -= share.weight;
        if (remaining < 0.0) {
            return share.service;
        }
    }
    return route.services.empty() ? service_id() : route.services.back().service;
}

void setModel(active_request &active, std::string model)
{
    active.model = std::move(model);
    active.prompt = active.request.prompt;
    const std::uint64_t salt = std::hash<std::string>{}(active.model.empty() ? active.request.model : active.model);
    for (prompt_part &part : active.prompt) {
        part.id ^= salt;
    }
}

} // namespace crocuslane
