#include "net/failed_connections.h"

namespace crocuslane {

namespace {

// Dead idle connections are closed by then.
constexpr std::chrono::seconds newConnectionTime{4};

} // namespace

void failed_connections::add(const std::string &address, steady_time now)
{
    m_until[address] = now + newConnectionTime;
}

bool failed_connections::requiresNewConnection(const std::string &address, steady_time now)
{
    const auto found = m_until.find(address);
    if (found == m_until.end()) {
        return false;
    }
    if (now < found->second) {
        return true;
    }
    m_until.erase(found);
    return false;
}

} // namespace crocuslane
