#pragma once

#include "base/clock.h"

#include <map>
#include <string>

namespace crocuslane {

/// Addresses whose reused connections have failed. Their other idle connections have probably failed for the same
/// cause.
class failed_connections
{
public:
    /// @p address is "ip:port".
    void add(const std::string &address, steady_time now);
    /// Whether requests to the address use only new connections.
    bool requiresNewConnection(const std::string &address, steady_time now);

private:
    /// By address, the time until which it gets only new connections.
    std::map<std::string, steady_time> m_until;
};

} // namespace crocuslane
