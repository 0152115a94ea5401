#include "plugins/requests/dispatch_queue.h"

namespace crocuslane {

dispatch_queue::dispatch_queue(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::optional<request_id>
dispatch_queue::push(const request_id &request, const std::string &lane, const queue_position &position)
{
    // Standing precedes class: otherwise the urgent excess of one group would delay the standard work of groups that
    // are within their limits.
    m_requests.insert(
        request, lane, {position.standing, position.urgency, !position.isContinuation, position.order, m_nextSequence});
    ++m_nextSequence;
    if (m_requests.size() <= m_capacity) {
        return std::nullopt;
    }
    std::optional<request_id> worst = worstRequest();
    remove(*worst);
    return worst;
}

void dispatch_queue::remove(const request_id &request)
{
    m_requests.remove(request);
}

void dispatch_queue::dispatch(const std::function<dispatch_result(const request_id &)> &tryStart)
{
    std::unordered_set<std::string> waitingLanes;
    for (auto lane = bestLane(waitingLanes); lane != m_requests.queues().end(); lane = bestLane(waitingLanes)) {
        const std::string laneName = lane->first;
        const request_id request = lane->second.begin()->second;
        const key position = lane->second.begin()->first;
        if (tryStart(request) == dispatch_result::waiting) {
            waitingLanes.insert(laneName);
            continue;
        }
        // The flow may have queued the same request again, for another version; only the old place is removed.
        const key *place = m_requests.positionOf(request);
        if (place != nullptr && *place == position) {
            remove(request);
        }
    }
}

bool dispatch_queue::contains(const request_id &request) const
{
    return m_requests.contains(request);
}

std::size_t dispatch_queue::size() const
{
    return m_requests.size();
}

dispatch_queue::lane_iterator dispatch_queue::bestLane(const std::unordered_set<std::string> &waitingLanes) const
{
    const auto &lanes = m_requests.queues();
    auto best = lanes.end();
    for (auto lane = lanes.begin(); lane != lanes.end(); ++lane) {
        if (waitingLanes.contains(lane->first)) {
            continue;
        }
        if (best == lanes.end() || lane->second.begin()->first < best->second.begin()->first) {
            best = lane;
        }
    }
    return best;
}

std::optional<request_id> dispatch_queue::worstRequest() const
{
    const auto &lanes = m_requests.queues();
    auto worst = lanes.end();
    for (auto lane = lanes.begin(); lane != lanes.end(); ++lane) {
        if (worst == lanes.end() || worst->second.rbegin()->first < lane->second.rbegin()->first) {
            worst = lane;
        }
    }
    return worst == lanes.end() ? std::nullopt : std::optional(worst->second.rbegin()->second);
}

} // namespace crocuslane
