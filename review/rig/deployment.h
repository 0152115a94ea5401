#pragma once

#include "rig.h"

#include <nlohmann/json_fwd.hpp>

namespace rig {

constexpr const char *host = "orders.example";
constexpr const char *apiKey = "key-of-the-crew";

/// A route of the plain service "field-ops" as on the sheet of rimal-lane.
nlohmann::json plainRoute(const std::string &name, const std::string &prefix, const std::string &kind);
/// Writes the first configuration: @p routes, the service "field-ops" and one tenant.
void publishConfiguration(store &registry, const nlohmann::json &routes);

struct order {
    std::string id;
    std::string method = "POST";
    std::string path = "/dispatch/1";
    fields more;
    std::string body = "{\"plot\":17}";
};

/// The bytes of a request with the fields that clients always send.
std::string requestText(const order &content, int deadlineMs);

/// Whether the disruption of the case is left out.
bool isWithoutTrouble();

/// Runs @p play, and returns the exit status of the case: 1 if it returns true (the rule was broken), 0 if not, and 2
/// if it throws.
int runCase(const char *recordPath, const std::function<bool()> &play);

} // namespace rig
