#include "plugins/forwarding/waiting_line.h"

#include <iterator>
#include <vector>

namespace crocuslane {

void waiting_line::push(const request_id &request, const std::string &lane, unsigned rank)
{
    remove(request);
    const key position{rank, ++m_lastSequence};
    m_lanes[lane].emplace(position, request);
    m_places[request] = {lane, position};
}

void waiting_line::remove(const request_id &request)
{
    const auto found = m_places.find(request);
    if (found == m_places.end()) {
        return;
    }
    const auto lane = m_lanes.find(found->second.lane);
    lane->second.erase(found->second.position);
    if (lane->second.empty()) {
        m_lanes.erase(lane);
    }
    m_places.erase(found);
}

bool waiting_line::contains(const request_id &request) const
{
    return m_places.contains(request);
}

std::size_t waiting_line::size() const
{
    return m_places.size();
}

std::size_t waiting_line::before(const std::string &lane, unsigned rank) const
{
    const auto found = m_lanes.find(lane);
    if (found == m_lanes.end()) {
        return 0;
    }
    const auto end = found->second.lower_bound({rank + 1, 0});
    return static_cast<std::size_t>(std::distance(found->second.begin(), end));
}

void waiting_line::dispatch(const std::function<bool(const request_id &)> &tryStart)
{
    std::vector<std::string> lanes;
    for (const auto &[lane, requests] : m_lanes) {
        lanes.push_back(lane);
    }
    for (const std::string &lane : lanes) {
        while (true) {
            const auto found = m_lanes.find(lane);
            if (found == m_lanes.end()) {
                break;
            }
            const request_id first = found->second.begin()->second;
            if (!tryStart(first)) {
                break;
            }
            remove(first);
        }
    }
}

} // namespace crocuslane
