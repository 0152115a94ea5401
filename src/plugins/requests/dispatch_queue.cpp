#include "plugins/requests/dispatch_queue.h"

namespace crocuslane {

dispatch_queue::dispatch_queue(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::optional<request_id>
dispatch_queue::push(const request_id &request, const std::string &lane, const queue_position &position)
{
    remove(request);
    // Standing precedes class: otherwise the urgent excess of one group would delay the standard work of groups that
    // are within their limits.
    const key key{position.standing, position.urgency, !position.isContinuation, position.order, m_nextSequence};
    ++m_nextSequence;
    m_lanes[lane].emplace(key, request);
    m_places.emplace(request, place{lane, key});
    if (m_places.size() <= m_capacity) {
        return std::nullopt;
    }
    std::optional<request_id> worst = worstRequest();
    remove(*worst);
    return worst;
}

void dispatch_queue::remove(const request_id &request)
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

void dispatch_queue::dispatch(const std::function<dispatch_result(const request_id &)> &tryStart)
{
    std::unordered_set<std::string> waitingLanes;
    for (auto lane = bestLane(waitingLanes); lane != m_lanes.end(); lane = bestLane(waitingLanes)) {
        const std::string laneName = lane->first;
        const request_id request = lane->second.begin()->second;
        const key position = lane->second.begin()->first;
        if (tryStart(request) == dispatch_result::waiting) {
            waitingLanes.insert(laneName);
            continue;
        }
        // The flow may have queued the same request again, for another version; only the old place is removed.
        const auto place = m_places.find(request);
        if (place != m_places.end() && place->second.position == position) {
            remove(request);
        }
    }
}

bool dispatch_queue::contains(const request_id &request) const
{
    return m_places.contains(request);
}

std::size_t dispatch_queue::size() const
{
    return m_places.size();
}

dispatch_queue::lane_map::iterator dispatch_queue::bestLane(const std::unordered_set<std::string> &waitingLanes)
{
    auto best = m_lanes.end();
    for (auto lane = m_lanes.begin(); lane != m_lanes.end(); ++lane) {
        if (waitingLanes.contains(lane->first)) {
            continue;
        }
        if (best == m_lanes.end() || lane->second.begin()->first < best->second.begin()->first) {
            best = lane;
        }
    }
    return best;
}

std::optional<request_id> dispatch_queue::worstRequest() const
{
    auto worst = m_lanes.end();
    for (auto lane = m_lanes.begin(); lane != m_lanes.end(); ++lane) {
        if (worst == m_lanes.end() || worst->second.rbegin()->first < lane->second.rbegin()->first) {
            worst = lane;
        }
    }
    return worst == m_lanes.end() ? std::nullopt : std::optional(worst->second.rbegin()->second);
}

} // namespace crocuslane
